"""Division of the teams' slots between the entries.

Each entry writes the slots that it may use into the lease row, which is
written by compare-and-set only. An entry lowers its limit before it writes a
smaller share, and raises it after a larger share is stored. Therefore the
limits never add up to more than the shares in the row, nor the shares to more
than the quota.
"""

import datetime

import attrs
import msgspec

from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _reports

UNLIMITED_SLOTS = 1_000_000
"""Smallest number of slots that means no quota."""

LEASE_EXPIRES_AFTER = datetime.timedelta(seconds=30)
"""Time without a renewal after which a lease expires. It exceeds
LIMITS_VALID_FOR, so that an entry stops using its slots before others may."""

LEASE_ABANDONED_AFTER = datetime.timedelta(minutes=10)
"""Time without a renewal after which an entry is considered gone for good. VMs
are replaced within seconds, at other addresses; an outage may last minutes."""

FLOOR_DIVISOR = 2
"""Divisor of an equal share that gives the floor, held without demand."""


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one team that one entry may use.

    It is encoded as an array for brevity: the row has one per team and entry.
    """

    slots: _fields.Count
    """Largest number of slots that the entry may use."""

    demand: _fields.Count
    """Tasks waiting or active at the entry when it wrote the share."""


@attrs.frozen
class Lease:
    """An entry's record in the lease row."""

    member: _reports.Member
    """The entry that holds the lease."""

    renewal: _fields.Count
    """Number that increases with each renewal."""

    shares: dict[str, Share] = attrs.Factory(dict)
    """Shares by team; teams without a quota have none."""


@attrs.define
class LeaseExpiryDetector:
    """Detector of expired leases, which uses this process's clock only."""

    _seen: dict[int, tuple[int, datetime.datetime]] = attrs.Factory(dict)
    """Last renewal and the time at which it was first seen, by incarnation."""

    def filter_live(
        self, leases: tuple[Lease, ...], now: datetime.datetime
    ) -> tuple[Lease, ...]:
        """Return the leases that have not expired."""
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
            if now - seen[lease.member.incarnation][1] <= LEASE_EXPIRES_AFTER
        )

    def list_abandoned(
        self, leases: tuple[Lease, ...], now: datetime.datetime
    ) -> tuple[Lease, ...]:
        """Return the leases not renewed for LEASE_ABANDONED_AFTER.

        :param leases: some of the leases last passed to ``filter_live``
        """
        limit = now - LEASE_ABANDONED_AFTER
        return tuple(
            lease
            for lease in leases
            if self._seen[lease.member.incarnation][1] < limit
        )


@attrs.define
class QuotaShares:
    """The limits of one entry, in force and after the write in progress."""

    limits: dict[str, int] = attrs.Factory(dict)
    """Slots that this entry may use now, by team."""

    _planned: dict[str, int] = attrs.Factory(dict)
    """Limits, by team, to apply when the write in progress is stored."""

    def plan(
        self,
        quotas: dict[str, int],
        own: dict[str, Share],
        others: tuple[dict[str, Share], ...],
        demand: dict[str, int],
        active: dict[str, int],
    ) -> dict[str, Share]:
        """Return the shares to write and lower the limits to them.

        :param quotas: slots that each team may use over all entries
        :param own: shares of this entry in the row that was read
        :param others: shares of each other entry in that row
        :param demand: tasks waiting or active at this entry, by team
        :param active: tasks active at this entry, by team
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
        """Apply the planned limits, after their shares are stored."""
        self.limits = dict(self._planned)

    def is_starved(self, demand: dict[str, int]) -> bool:
        """Return whether a team has more tasks here than its limit."""
        return any(
            demand.get(team, 0) > limit for team, limit in self.limits.items()
        )


def choose_slots(target: int, stored: int, free: int, active: int) -> int:
    """Return the slots of a team that this entry writes into its lease.

    The result exceeds ``stored`` by free slots only, and includes all stored
    slots that are in use.

    :param target: slots that the entry should hold
    :param stored: slots that it holds in the row that was read
    :param free: slots of the quota that no entry holds
    :param active: tasks of the team that are active at this entry
    """
    if target <= stored:
        return min(stored, max(target, active))
    return min(target, stored + max(free, 0))


def choose_target(quota: int, own: int, others: list[int]) -> int:
    """Return the slots of a team that an entry should hold.

    :param quota: slots of the team over all entries
    :param own: demand at this entry
    :param others: demand at each other entry
    """
    # Max-min fairness above a floor. The floor leaves an entry some slots if
    # the table service fails while the team has no tasks at the entry.
    entries = len(others) + 1
    equal = quota // entries
    floor = max(equal // FLOOR_DIVISOR, min(equal, 1))
    wanted = [max(demand - floor, 0) for demand in [*others, own]]
    rest = quota - floor * entries
    granted = _divide_max_min(rest, wanted)
    spare = (rest - sum(granted)) // entries
    # Every entry with demand counts the remainder of the division in its
    # target; the first one to write its lease gets it.
    leftover = rest - sum(granted) - spare * entries
    return floor + granted[-1] + spare + (leftover if own else 0)


def _divide_max_min(amount: int, wanted: list[int]) -> list[int]:
    granted = [0] * len(wanted)
    order = sorted(range(len(wanted)), key=lambda index: wanted[index])
    for position, index in enumerate(order):
        level = amount // (len(order) - position)
        granted[index] = min(wanted[index], level)
        amount -= granted[index]
    return granted


def share_equally(quotas: dict[str, int], entries: int) -> dict[str, int]:
    """Return limits by team for an entry that never read the lease row."""
    return {team: quota // max(entries, 1) for team, quota in quotas.items()}


def find_quotas(slots: dict[str, int]) -> dict[str, int]:
    """Return the slots, by team, of the teams that have a quota."""
    return {
        team: count for team, count in slots.items() if count < UNLIMITED_SLOTS
    }
