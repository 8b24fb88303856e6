"""Division of the teams' slots between the entries.

Each entry writes the slots that it may use into the lease row, which changes
by compare-and-set only. An entry lowers its limit before it writes a smaller
share and raises it after a larger one is stored. So the limits never add up
to more than the shares in the row, nor those to more than the quota.
"""

import datetime

import attrs
import msgspec

from cowslipgate_core.messages import _reports

UNLIMITED_SLOTS = 1_000_000
LEASE_LAPSES_AFTER = datetime.timedelta(seconds=30)
LEASE_ABANDONED_AFTER = datetime.timedelta(minutes=10)
"""Time without a renewal after which an entry will not come back: VMs are
replaced within seconds, at other addresses; chosen for outages of minutes."""

FLOOR_DIVISOR = 2


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one team that one entry may use.

    It is encoded as an array: the row has one for each team and entry.
    """

    slots: int
    """Slots that the entry may use at most."""

    demand: int
    """Tasks waiting or under way at the entry when it wrote the share."""


@attrs.frozen
class Lease:
    """What one entry writes of itself into the lease row."""

    member: _reports.Member
    """The entry."""

    renewal: int
    """Number that grows with each renewal."""

    shares: dict[str, Share] = attrs.Factory(dict)
    """Shares by team; teams without a quota have none."""


@attrs.define
class LeaseWatch:
    """Tells which leases lapsed, by this process's clock alone."""

    _seen: dict[int, tuple[int, datetime.datetime]] = attrs.Factory(dict)
    """Last renewal by incarnation, and when it was first seen."""

    def keep_live(
        self, leases: tuple[Lease, ...], now: datetime.datetime
    ) -> tuple[Lease, ...]:
        """Return the leases whose renewal changed lately."""
        seen = {}
        for lease in leases:
            incarnation = lease.member.incarnation
            known = self._seen.get(incarnation)
            if known is None or known[0] != lease.renewal:
                known = (lease.renewal, now)
            seen[incarnation] = known
        self._seen = seen
        return tuple(
            lease
            for lease in leases
            if now - seen[lease.member.incarnation][1] <= LEASE_LAPSES_AFTER
        )

    def list_abandoned(
        self, leases: tuple[Lease, ...], now: datetime.datetime
    ) -> tuple[Lease, ...]:
        """Return those of the leases seen whose entries will not come back."""
        limit = now - LEASE_ABANDONED_AFTER
        return tuple(
            lease
            for lease in leases
            if self._seen[lease.member.incarnation][1] < limit
        )


@attrs.define
class QuotaBook:
    """The limits of one entry and the shares that it is writing."""

    limits: dict[str, int] = attrs.Factory(dict)
    """Slots that this entry may use now, by team."""

    _planned: dict[str, int] = attrs.Factory(dict)
    """Limits once the write that is under way is stored."""

    def plan(
        self,
        quotas: dict[str, int],
        own: dict[str, Share],
        others: tuple[dict[str, Share], ...],
        demand: dict[str, int],
        active: dict[str, int],
    ) -> dict[str, Share]:
        """Return the shares to write, after lowering the limits to them.

        :param quotas: slots that each team may use over all entries
        :param own: shares of this entry in the row that was read
        :param others: shares of each other entry in that row
        :param demand: tasks waiting or under way here, by team
        :param active: tasks under way here, by team
        """
        shares = {}
        planned = {}
        for team, quota in quotas.items():
            stored = own[team].slots if team in own else 0
            rest = [other.get(team, Share(0, 0)) for other in others]
            wanted = demand.get(team, 0)
            target = choose_target(
                quota, wanted, [share.demand for share in rest]
            )
            free = quota - stored - sum(share.slots for share in rest)
            slots = choose_slots(target, stored, free, active.get(team, 0))
            shares[team] = Share(slots, wanted)
            planned[team] = min(target, slots)
        self.limits = {
            team: min(limit, self.limits.get(team, 0), shares[team].slots)
            for team, limit in planned.items()
        }
        self._planned = planned
        return shares

    def confirm(self) -> None:
        """Take in that the planned shares are stored."""
        self.limits = dict(self._planned)

    def is_starved(self, demand: dict[str, int]) -> bool:
        """Tell whether a team has more tasks here than its limit."""
        return any(
            demand.get(team, 0) > limit for team, limit in self.limits.items()
        )


def choose_slots(target: int, stored: int, free: int, active: int) -> int:
    """Return the slots of a team that this entry writes into its lease.

    It grows by free slots only and never gives up slots that are in use.

    :param target: slots that it should hold
    :param stored: slots that it holds now
    :param free: slots of the quota that no entry holds
    :param active: tasks of the team under way here
    """
    if target <= stored:
        return min(stored, max(target, active))
    return min(target, stored + max(free, 0))


def choose_target(quota: int, own: int, others: list[int]) -> int:
    """Return the slots that an entry should hold, by every entry's demand."""
    # Max-min fairness above a floor, which is what an entry still has when
    # the table service goes down while its team has no work here.
    entries = len(others) + 1
    equal = quota // entries
    floor = max(equal // FLOOR_DIVISOR, min(equal, 1))
    wanted = [max(demand - floor, 0) for demand in [*others, own]]
    rest = quota - floor * entries
    granted = _fill(rest, wanted)
    spare = (rest - sum(granted)) // entries
    # A slot that no division gives to anyone goes to whoever takes it first.
    leftover = rest - sum(granted) - spare * entries
    return floor + granted[-1] + spare + (leftover if own else 0)


def _fill(amount: int, wanted: list[int]) -> list[int]:
    granted = [0] * len(wanted)
    order = sorted(range(len(wanted)), key=lambda index: wanted[index])
    for position, index in enumerate(order):
        level = amount // (len(order) - position)
        granted[index] = min(wanted[index], level)
        amount -= granted[index]
    return granted


def share_equally(quotas: dict[str, int], entries: int) -> dict[str, int]:
    """Return the limits of an entry that has never read the lease row."""
    return {team: quota // max(entries, 1) for team, quota in quotas.items()}


def find_quotas(slots: dict[str, int]) -> dict[str, int]:
    """Return the slots of the teams that have a quota."""
    return {
        team: count for team, count in slots.items() if count < UNLIMITED_SLOTS
    }
