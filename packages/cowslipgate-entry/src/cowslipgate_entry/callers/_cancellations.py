"""Cancellations that reach every entry, whichever one is asked."""

import datetime

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests

CHANNEL = "cancellations"
REPLY_TIMEOUT = datetime.timedelta(seconds=2)


@attrs.define(eq=False)
class _Spread:
    """A cancellation that waits for the other entries."""

    cancellation: _requests.Cancellation
    """What was asked for."""

    pending: set[int]
    """Incarnations of the entries that have not answered."""

    until: datetime.datetime
    """When the caller is answered at the latest."""

    cancelled: int = 0
    """Jobs cancelled so far."""


class Cancellations(circuits.BaseComponent):
    """Forwards cancellations to the entries that may own the jobs."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._members: tuple[core.Member, ...] = (member,)
        self._spreads: dict[int, _Spread] = {}
        self._remote: dict[_requests.Cancellation, core.CancelRequest] = {}

    @property
    def waiting(self) -> int:
        """Number of cancellations that are not answered yet."""
        return len(self._spreads) + len(self._remote)

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members

    @circuits.handler("spread_cancellation")
    def _on_spread_cancellation(
        self, cancellation: _requests.Cancellation
    ) -> None:
        owners = {member.incarnation for member in self._members}
        if cancellation.job:
            prefix = cancellation.job.partition("-")[0]
            owners = {o for o in owners if f"{o:x}" == prefix}
        self._spreads[cancellation.number] = _Spread(
            cancellation, owners, self._clock.now() + REPLY_TIMEOUT
        )
        own = self._member.incarnation
        for owner in sorted(owners - {own}):
            self._ask(owner, cancellation)
        if own in owners:
            # The messages to the others leave first: slots that this entry
            # frees would go to jobs of the same wave that wait elsewhere.
            self.fire(_events.cancel_own_jobs(cancellation))
        self._check(cancellation.number)

    @circuits.handler("cancel_own_jobs")
    def _on_cancel_own_jobs(
        self, cancellation: _requests.Cancellation
    ) -> None:
        self.fire(_events.cancel_jobs(cancellation), "dispatcher")

    @circuits.handler("jobs_cancelled")
    def _on_jobs_cancelled(
        self, cancellation: _requests.Cancellation, count: int
    ) -> None:
        request = self._remote.pop(cancellation, None)
        if request is None:
            own = self._member.incarnation
            self._note(cancellation.number, own, count)
            return
        reply = core.CancelReply(
            request.request, self._member.incarnation, count
        )
        self.fire(_events.tell_peer(request.entry, reply), "peers")

    @circuits.handler("peer_heard")
    def _on_peer_heard(self, message: object) -> None:
        if isinstance(message, core.CancelReply):
            self._note(message.request, message.entry, message.cancelled)
        if isinstance(message, core.CancelRequest):
            cancellation = _requests.Cancellation(
                message.request,
                message.team,
                message.job,
                message.service,
                message.label,
            )
            self._remote[cancellation] = message
            self.fire(_events.cancel_jobs(cancellation), "dispatcher")

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        for number in list(self._spreads):
            self._check(number)

    def _ask(self, owner: int, cancellation: _requests.Cancellation) -> None:
        message = core.CancelRequest(
            cancellation.number,
            self._member.incarnation,
            cancellation.team,
            cancellation.job,
            cancellation.service,
            cancellation.label,
        )
        self.fire(_events.tell_peer(owner, message), "peers")

    def _note(self, number: int, entry: int, count: int) -> None:
        spread = self._spreads.get(number)
        if spread is not None and entry in spread.pending:
            spread.pending.remove(entry)
            spread.cancelled += count
            self._check(number)

    def _check(self, number: int) -> None:
        spread = self._spreads[number]
        if spread.pending and self._clock.now() < spread.until:
            return
        del self._spreads[number]
        silent = tuple(sorted(spread.pending))
        event = _events.cancellation_answered(
            spread.cancellation, spread.cancelled, silent
        )
        self.fire(event, "gateway")
