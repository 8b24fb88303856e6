"""Jobs that callers ask about or cancel by the path of their submission.

The entry that a caller reaches may not hold its job, so it asks the others.
"""

import datetime
import itertools
import urllib.parse

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _cancelled_jobs
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport

CHANNEL = "requested-jobs"
ENTRY_CALLS = "entry-calls"
"""Channel of the HTTP client for other entries."""

RESOURCE_HEADER = "X-Cowslipgate-Resource"
"""Names the job, percent-encoded, in the inquiry of another entry."""

TEAM_HEADER = "X-Cowslipgate-Team"
"""Names the caller's team, percent-encoded, in such an inquiry."""

UNROUTED_HEADER = "X-Cowslipgate-Unrouted"
"""Present in an inquiry of an entry that has no route for the resource."""

REPLY_TIMEOUT = datetime.timedelta(milliseconds=1_200)
"""Time for another entry's reply: it answers a cancellation when the runs
have ended, after 1 s at the latest (``Timing.resolve_timeout``), at a tick."""

STORE_TIMEOUT = datetime.timedelta(seconds=1)
"""Time for which a cancellation waits until it is stored and the list of
entries is read: the time allowed for one answer of the store."""

KEPT_FORMER = datetime.timedelta(seconds=15)
"""Time for which entries that have left the list of members are asked; they
finish their jobs."""

HTTP_OK = 200
HTTP_GONE = 410

Process = tuple[str, int]
"""Address for callers and incarnation of an entry; zero if it is unknown."""


@attrs.define(eq=False)
class _Asked:
    """An inquiry that is not answered yet."""

    inquiry: _requests.Inquiry
    """The request."""

    asked: set[Process] = attrs.Factory(set)
    """Entries that were asked."""

    pending: dict[int, str] = attrs.Factory(dict)
    """Addresses of the entries that have not replied, by number of call."""

    replies: dict[str, str] = attrs.Factory(dict)
    """What each entry replied, by address, for the log."""

    stored_by: datetime.datetime | None = None
    """Until when the answer waits for the store, or None if it does not."""

    stored: bool = False
    """Whether the cancellation is stored and all entries since are asked."""

    local: _requests.Cancellation | None = None
    """Cancellation at this entry that has not ended, or None."""

    state: _requests.JobState | None = None
    """State of the job, as far as known."""

    unknown: bool = False
    """Whether an entry has not replied, which may hold the job."""


class RequestedJobs(circuits.BaseComponent):
    """Component that finds and cancels jobs here and at other entries."""

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        member: core.Member,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._member = member
        self._clock = clock
        self._numbers = itertools.count(1)
        self._asked: list[_Asked] = []
        self._cancelled = _cancelled_jobs.CancelledJobs()
        # Entries that were asked about jobs whose callers were answered before
        # the cancellation was stored.
        self._late: dict[_cancelled_jobs.Key, set[Process]] = {}
        self._members: tuple[core.Member, ...] = (member,)
        self._former: dict[str, datetime.datetime] = {}
        self._stops_at: datetime.datetime | None = None

    @property
    def waiting(self) -> int:
        """Number of inquiries without an answer."""
        return len(self._asked)

    @property
    def remembered(self) -> int:
        """Number of cancelled jobs that are remembered."""
        return len(self._cancelled)

    @circuits.handler("members_changed", channel=_events.GATEWAY)
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        now = self._clock.now()
        present = {member.http for member in members}
        for member in self._members:
            if member.http not in present:
                self._former[member.http] = now
        self._members = members

    @circuits.handler("http_requested", channel=_events.GATEWAY, priority=20)
    def _on_http_requested(
        self, event: circuits.Event, exchange: transport.Exchange
    ) -> None:
        resource = exchange.headers.get(RESOURCE_HEADER.lower())
        if resource is None or exchange.method not in ("GET", "DELETE"):
            return
        event.stop()
        team = exchange.headers.get(TEAM_HEADER.lower(), "")
        inquiry = _requests.Inquiry(
            exchange,
            urllib.parse.unquote(team),
            urllib.parse.unquote(resource),
            exchange.method == "DELETE",
            routed=UNROUTED_HEADER.lower() not in exchange.headers,
        )
        self._start(inquiry, ())

    @circuits.handler("inquire")
    def _on_inquire(self, inquiry: _requests.Inquiry) -> None:
        if inquiry.cancels or inquiry.routed:
            self._start(inquiry, self._list_others())
        else:
            self._start(inquiry, ())

    @circuits.handler("cancellation_stored")
    def _on_cancellation_stored(
        self, team: str, resource: str, members: tuple[core.Member, ...]
    ) -> None:
        others = [
            (member.http, member.incarnation)
            for member in members
            if member.http != self._member.http
        ]
        waiting = [
            asked
            for asked in self._asked
            if asked.stored_by is not None
            and (asked.inquiry.team, asked.inquiry.resource)
            == (team, resource)
        ]
        for asked in waiting:
            asked.stored_by = None
            asked.stored = True
            for other in others:
                self._ask(asked, other)
            self._answer_when_complete(asked)
        # The caller may have been answered while the store was unavailable.
        asked_before = self._late.pop((team, resource), None)
        if asked_before is not None and not waiting:
            for other in others:
                if other not in asked_before:
                    self._call(other[0], team, resource, True)

    @circuits.handler("cancellations_read", channel=_events.GATEWAY)
    def _on_cancellations_read(
        self, cancelled: tuple[_cancelled_jobs.Key, ...]
    ) -> None:
        now = self._clock.now()
        in_flight = {
            (job.team, job.terms.resource)
            for job in self._dispatcher.ledger.jobs.values()
        }
        for key in cancelled:
            self._cancelled.add(key, key in in_flight, now)
            if key in in_flight:
                team, resource = key
                cancellation = _requests.Cancellation(
                    next(self._numbers), team, resource=resource
                )
                self.fire(_events.cancel_jobs(cancellation), "dispatcher")

    @circuits.handler("stop_at")
    def _on_stop_at(self, stops_at: datetime.datetime) -> None:
        self._stops_at = stops_at

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        stopping = self._is_stopping()
        now = self._clock.now()
        for asked in list(self._asked):
            if stopping:
                unasked = asked.stored_by is not None
                asked.unknown |= bool(asked.pending) or unasked
                asked.pending.clear()
                asked.stored_by = None
                self._answer_when_complete(asked)
            elif asked.stored_by is not None and now >= asked.stored_by:
                asked.stored_by = None
                self._record_late(asked)
                self._answer_when_complete(asked)

    @circuits.handler("submit_job", channel="dispatcher", priority=20)
    def _on_submit_job(
        self, event: circuits.Event, submission: _requests.Submission
    ) -> None:
        key = submission.team, submission.terms.resource
        if self._cancelled.find(key, self._clock.now()) is None:
            return
        event.stop()
        answer = core.JobAnswer(
            "",
            failure=core.Failure.CANCELLED,
            message="the job was cancelled before",
        )
        refused = _events.job_refused(submission, answer)
        self.fire(refused, _events.GATEWAY)
        action = _cancelled_jobs.CancellationAction.REFUSED
        counted = _events.cancellations_counted(action, 1)
        self.fire(counted, _events.GATEWAY)

    @circuits.handler("jobs_cancelled", channel="cancellations")
    def _on_jobs_cancelled(
        self, cancellation: _requests.Cancellation, count: int
    ) -> None:
        for asked in self._asked:
            if asked.local is cancellation:
                asked.local = None
                if count:
                    asked.state = _requests.JobState.CANCELLED
                    self._remember(asked.inquiry, True)
                self._answer_when_complete(asked)
                return

    @circuits.handler("http_answered", channel=ENTRY_CALLS)
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        state = None
        unknown = False
        reply = f"status {answer.status}"
        if answer.status == HTTP_OK:
            try:
                state = msgspec.json.decode(
                    answer.body, type=_requests.JobState
                )
                reply = state.value
            except msgspec.DecodeError:
                unknown = True
        else:
            unknown = answer.status != HTTP_GONE
            reply = reply if unknown else "no such job"
        self._record_reply(answer.call.id, reply, state, unknown)

    @circuits.handler("http_failed", channel=ENTRY_CALLS)
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        # Where nothing listens no process holds a job.
        refused = failure.problem is transport.CallProblem.REFUSED
        reply = failure.problem.value
        self._record_reply(failure.call.id, reply, None, not refused)

    def _start(
        self, inquiry: _requests.Inquiry, others: tuple[Process, ...]
    ) -> None:
        inquiry = self._resolve(inquiry)
        asked = _Asked(inquiry, state=self._find_state(inquiry))
        self._asked.append(asked)
        if inquiry.cancels:
            self._remember(inquiry, False)
            self._store(asked)
            asked.local = _requests.Cancellation(
                next(self._numbers), inquiry.team, resource=inquiry.resource
            )
        if inquiry.cancels or asked.state is None:
            if self._is_stopping():
                asked.unknown = bool(others)
                others = ()
            for other in others:
                self._ask(asked, other)
        if asked.local is not None:
            asked.state = self._get_remembered(inquiry)
            self.fire(_events.cancel_jobs(asked.local), "dispatcher")
        self._answer_when_complete(asked)

    def _store(self, asked: _Asked) -> None:
        if _is_relayed(asked.inquiry):
            event = _events.cancellation_relayed()
            self.fire(event, "stored-cancellations")
            return
        if not self._is_stopping():
            asked.stored_by = self._clock.now() + STORE_TIMEOUT
        event = _events.store_cancellation(
            asked.inquiry.team, asked.inquiry.resource
        )
        self.fire(event, "stored-cancellations")

    def _record_late(self, asked: _Asked) -> None:
        """Remember who was asked until the cancellation is stored."""
        key = asked.inquiry.team, asked.inquiry.resource
        self._late[key] = asked.asked
        if len(self._late) > _cancelled_jobs.MAX_CANCELLED:
            del self._late[next(iter(self._late))]

    def _is_stopping(self) -> bool:
        return (
            self._stops_at is not None and self._clock.now() >= self._stops_at
        )

    def _ask(self, asked: _Asked, other: Process) -> None:
        """Ask an entry, unless this process of it was asked before."""
        if other in asked.asked:
            return
        asked.asked.add(other)
        address, _ = other
        inquiry = asked.inquiry
        number = self._call(
            address,
            inquiry.team,
            inquiry.resource,
            inquiry.cancels,
            inquiry.routed,
        )
        if number is not None:
            asked.pending[number] = address

    def _call(
        self,
        other: str,
        team: str,
        resource: str,
        cancels: bool,
        routed: bool = True,
    ) -> int | None:
        """Send an inquiry; return the number of the call, or None."""
        try:
            address = transport.parse_address(other)
        except ValueError:
            # No entry has written this row.
            return None
        number = next(self._numbers)
        _, _, path = resource.partition("/")
        headers = {
            RESOURCE_HEADER: urllib.parse.quote(resource),
            TEAM_HEADER: urllib.parse.quote(team),
        }
        if not routed:
            headers[UNROUTED_HEADER] = "1"
        call = transport.Call(
            number,
            address,
            "DELETE" if cancels else "GET",
            "/" + urllib.parse.quote(path),
            headers,
            timeout=REPLY_TIMEOUT,
        )
        self.fire(transport.call_http(call), ENTRY_CALLS)
        return number

    def _record_reply(
        self,
        number: int,
        reply: str,
        state: _requests.JobState | None,
        unknown: bool,
    ) -> None:
        for asked in self._asked:
            if number in asked.pending:
                asked.replies[asked.pending.pop(number)] = reply
                asked.state = asked.state or state
                asked.unknown |= unknown
                self._answer_when_complete(asked)
                return

    def _answer_when_complete(self, asked: _Asked) -> None:
        if asked.pending or asked.local is not None:
            return
        if asked.stored_by is not None:
            return
        self._asked.remove(asked)
        inquiry = asked.inquiry
        if not _is_relayed(inquiry):
            if inquiry.cancels and asked.state is None:
                self._log_unmatched(asked)
            event = _events.inquiry_answered(
                inquiry, asked.state, asked.unknown
            )
            self.fire(event, _events.GATEWAY)
            return
        answer = transport.Answer(HTTP_GONE, b"{}")
        if asked.state is not None:
            body = msgspec.json.encode(asked.state)
            answer = transport.Answer(HTTP_OK, body)
        event = transport.answer_http(inquiry.exchange, answer)
        self.fire(event, _events.GATEWAY)

    def _log_unmatched(self, asked: _Asked) -> None:
        replies = tuple(
            f"{address} {reply}"
            for address, reply in sorted(asked.replies.items())
        )
        change = _changes.CancellationUnmatched(
            asked.inquiry.resource, replies, asked.unknown, asked.stored
        )
        self.fire(transport.changed(change), "logs")

    def _resolve(self, inquiry: _requests.Inquiry) -> _requests.Inquiry:
        """Name the job of an inquiry without a route as this entry does.

        Routes of any host name their jobs by the path alone.
        """
        if inquiry.routed or self._find_state(inquiry) is not None:
            return inquiry
        _, slash, path = inquiry.resource.partition("/")
        by_path = attrs.evolve(inquiry, resource=f"{slash}{path}")
        return inquiry if self._find_state(by_path) is None else by_path

    def _find_state(
        self, inquiry: _requests.Inquiry
    ) -> _requests.JobState | None:
        state = self._dispatcher.find_state(inquiry.team, inquiry.resource)
        return state or self._get_remembered(inquiry)

    def _get_remembered(
        self, inquiry: _requests.Inquiry
    ) -> _requests.JobState | None:
        key = inquiry.team, inquiry.resource
        was_here = self._cancelled.find(key, self._clock.now())
        return _requests.JobState.CANCELLED if was_here else None

    def _remember(self, inquiry: _requests.Inquiry, was_here: bool) -> None:
        key = inquiry.team, inquiry.resource
        self._cancelled.add(key, was_here, self._clock.now())

    def _list_others(self) -> tuple[Process, ...]:
        now = self._clock.now()
        self._former = {
            address: left_at
            for address, left_at in self._former.items()
            if now - left_at <= KEPT_FORMER
        }
        others = {member.http: member.incarnation for member in self._members}
        for address in self._former:
            others.setdefault(address, 0)
        others.pop(self._member.http, None)
        return tuple(sorted(others.items()))


def _is_relayed(inquiry: _requests.Inquiry) -> bool:
    """Return whether another entry sent an inquiry, on behalf of a caller."""
    return RESOURCE_HEADER.lower() in inquiry.exchange.headers
