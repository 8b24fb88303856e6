"""Lease row: the live entries and the slots that each one may use."""

import datetime
import itertools

import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests

CHANNEL = "leases"
MEMBERS_ROW = ("entries", "live")
RENEW_INTERVAL = datetime.timedelta(seconds=10)
"""Time between two renewals of the lease."""

STARVED_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between two renewals while an entry is starved of slots."""

CONFLICT_RETRY = datetime.timedelta(milliseconds=100)
"""Delay of the next renewal after another entry's write came first."""

OUTAGE_RETRY = datetime.timedelta(seconds=1)
"""Delay of the next renewal after the store failed."""


class Leases(circuits.BaseComponent):
    """Renews this entry's lease and computes its share of the teams' slots."""

    channel = CHANNEL

    def __init__(
        self,
        member: core.Member,
        dispatcher: _dispatcher.Dispatcher,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._member = member
        self._dispatcher = dispatcher
        self._clock = clock
        self._numbers = itertools.count(1)
        self._quota_shares = core.QuotaShares()
        self._expiry_detector = core.LeaseExpiryDetector()
        self._quotas: dict[str, int] = {}
        self._live_count = 1
        self._renewal = 0
        self._revision = 0
        self._has_read = False
        self._busy = False
        self._leaving = False
        self._next_renewal = clock.now()
        self._earliest_renewal = clock.now()
        self._written_at = clock.now()
        self._validity = core.LimitValidity(
            clock.now() + core.LIMITS_VALID_FOR
        )

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        teams = configuration.document.teams
        self._quotas = core.find_quotas(
            {name: team.slots for name, team in teams.items()}
        )
        self._next_renewal = self._clock.now()
        self._fire_limits()

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._live_count = len(members)

    @circuits.handler("peer_message_received")
    def _on_peer_message_received(self, message: object) -> None:
        if not isinstance(message, core.Gossip):
            return
        if message.starved:
            self._advance_renewal()
        self._validity.record_revision(
            message.lease_revision, self._clock.now()
        )

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._leaving = True

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        if self._is_starved():
            self._advance_renewal()
        if now < self._next_renewal or self._busy or self._leaving:
            return
        self._busy = True
        self._next_renewal = now + RENEW_INTERVAL
        self._earliest_renewal = now + STARVED_INTERVAL
        call = _requests.StoreCall(next(self._numbers), CHANNEL, MEMBERS_ROW)
        self.fire(_events.call_store(call), "store")

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        if answer.call.read is None:
            self._busy = False
            self._handle_write(answer)
            return
        match answer.result:
            case _requests.StoreResult.DONE:
                leases = _decode_leases(answer.value)
            case _requests.StoreResult.ABSENT:
                leases = ()
            case _:
                leases = None
        if leases is None:
            self._busy = False
            self._handle_outage()
            return
        self._renew(leases, answer.revision)

    def _renew(self, leases: tuple[core.Lease, ...], revision: int) -> None:
        now = self._clock.now()
        self._revision = revision
        self._has_read = True
        own = [x for x in leases if _is_own(x, self._member)]
        # An earlier incarnation's tasks may still run, so its lease stays
        # until it expires.
        others = [x for x in leases if not _is_own(x, self._member)]
        live = self._expiry_detector.filter_live(tuple(others), now)
        members = tuple(lease.member for lease in live)
        self.fire(_events.members_found(members), "peers")
        ledger = self._dispatcher.ledger
        shares = self._quota_shares.plan(
            self._quotas,
            own[0].shares if own else {},
            tuple(lease.shares for lease in live),
            ledger.count_demand(),
            ledger.count_active(),
        )
        self._fire_limits()
        self._renewal += 1
        lease = core.Lease(self._member, self._renewal, shares)
        value = msgspec.to_builtins([*live, lease])
        self._written_at = now
        row = _requests.Row(*MEMBERS_ROW, value, revision)
        call = _requests.StoreCall(next(self._numbers), CHANNEL, writes=(row,))
        self.fire(_events.call_store(call), "store")

    def _handle_write(self, answer: _requests.StoreAnswer) -> None:
        now = self._clock.now()
        match answer.result:
            case _requests.StoreResult.DONE:
                self._revision += 1
                self._quota_shares.confirm()
                # Its answer may have been read much later.
                self._validity.record_renewal(self._written_at)
                self._fire_limits()
            case _requests.StoreResult.CONFLICT:
                self._next_renewal = now + CONFLICT_RETRY
            case _:
                self._handle_outage()

    def _handle_outage(self) -> None:
        now = self._clock.now()
        self._next_renewal = now + OUTAGE_RETRY
        self.fire(_events.discover_members(), "peers")
        self._validity.record_outage(now)
        if not self._has_read:
            self._quota_shares.limits = core.share_equally(
                self._quotas, self._live_count
            )
        self._fire_limits()

    def _is_starved(self) -> bool:
        return self._quota_shares.is_starved(
            self._dispatcher.ledger.count_demand()
        )

    def _advance_renewal(self) -> None:
        self._next_renewal = min(
            self._next_renewal, max(self._earliest_renewal, self._clock.now())
        )

    def _fire_limits(self) -> None:
        limits = {
            team: min(self._quota_shares.limits.get(team, 0), quota)
            for team, quota in self._quotas.items()
        }
        event = _events.limits_changed(limits, self._validity.until)
        self.fire(event, "dispatcher")
        state = _events.lease_changed(self._revision, self._is_starved())
        self.fire(state, "peers")


def _is_own(lease: core.Lease, member: core.Member) -> bool:
    return lease.member.incarnation == member.incarnation


def _decode_leases(value: object) -> tuple[core.Lease, ...] | None:
    # None keeps a row that another release may have written.
    try:
        return msgspec.convert(value, tuple[core.Lease, ...])
    except msgspec.ValidationError:
        return None
