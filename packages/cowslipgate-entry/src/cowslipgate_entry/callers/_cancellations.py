"""Forwarding of cancellations to every entry that may own the jobs."""

import datetime

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests

CHANNEL = "cancellations"
REPLY_TIMEOUT = datetime.timedelta(seconds=2)
"""Time in which other entries must reply to a forwarded cancellation."""


@attrs.define(eq=False)
class _Broadcast:
    """A cancellation that waits for replies of entries."""

    cancellation: _requests.Cancellation
    """The request of the caller."""

    pending: set[int]
    """Incarnations of the entries that have not replied."""

    deadline: datetime.datetime
    """Time at which the caller is answered without further replies."""

    cancelled: int = 0
    """Number of jobs cancelled so far."""


class Cancellations(circuits.BaseComponent):
    """Component that forwards cancellations and collects the replies."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._members: tuple[core.Member, ...] = (member,)
        self._broadcasts: dict[int, _Broadcast] = {}
        self._forwarded: dict[_requests.Cancellation, core.CancelRequest] = {}

    @property
    def waiting(self) -> int:
        """Number of unanswered cancellations of callers and entries."""
        return len(self._broadcasts) + len(self._forwarded)

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members

    @circuits.handler("broadcast_cancellation")
    def _on_broadcast_cancellation(
        self, cancellation: _requests.Cancellation
    ) -> None:
        owners = {member.incarnation for member in self._members}
        if cancellation.job:
            prefix = cancellation.job.partition("-")[0]
            owners = {o for o in owners if f"{o:x}" == prefix}
        self._broadcasts[cancellation.number] = _Broadcast(
            cancellation, owners, self._clock.now() + REPLY_TIMEOUT
        )
        own = self._member.incarnation
        for owner in sorted(owners - {own}):
            self._send_request(owner, cancellation)
        if own in owners:
            # Requests to other entries go out first: otherwise slots freed
            # here would go to jobs elsewhere that are about to be cancelled.
            self.fire(_events.cancel_local_jobs(cancellation))
        self._answer_when_complete(cancellation.number)

    @circuits.handler("cancel_local_jobs")
    def _on_cancel_local_jobs(
        self, cancellation: _requests.Cancellation
    ) -> None:
        self.fire(_events.cancel_jobs(cancellation), "dispatcher")

    @circuits.handler("jobs_cancelled")
    def _on_jobs_cancelled(
        self, cancellation: _requests.Cancellation, count: int
    ) -> None:
        request = self._forwarded.pop(cancellation, None)
        if request is None:
            own = self._member.incarnation
            self._record_reply(cancellation.number, own, count)
            return
        reply = core.CancelReply(
            request.request, self._member.incarnation, count
        )
        self.fire(_events.send_to_peer(request.entry, reply), "peers")

    @circuits.handler("peer_message_received")
    def _on_peer_message_received(self, message: object) -> None:
        if isinstance(message, core.CancelReply):
            self._record_reply(
                message.request, message.entry, message.cancelled
            )
        if isinstance(message, core.CancelRequest):
            cancellation = _requests.Cancellation(
                message.request,
                message.team,
                message.job,
                message.service,
                message.label,
            )
            self._forwarded[cancellation] = message
            self.fire(_events.cancel_jobs(cancellation), "dispatcher")

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        for number in list(self._broadcasts):
            self._answer_when_complete(number)

    def _send_request(
        self, owner: int, cancellation: _requests.Cancellation
    ) -> None:
        message = core.CancelRequest(
            cancellation.number,
            self._member.incarnation,
            cancellation.team,
            cancellation.job,
            cancellation.service,
            cancellation.label,
        )
        self.fire(_events.send_to_peer(owner, message), "peers")

    def _record_reply(self, number: int, entry: int, count: int) -> None:
        broadcast = self._broadcasts.get(number)
        if broadcast is not None and entry in broadcast.pending:
            broadcast.pending.remove(entry)
            broadcast.cancelled += count
            self._answer_when_complete(number)

    def _answer_when_complete(self, number: int) -> None:
        broadcast = self._broadcasts[number]
        if broadcast.pending and self._clock.now() < broadcast.deadline:
            return
        del self._broadcasts[number]
        unresponsive = tuple(sorted(broadcast.pending))
        event = _events.cancellation_answered(
            broadcast.cancellation, broadcast.cancelled, unresponsive
        )
        self.fire(event, "gateway")
