"""Jobs that callers ask about or cancel by the path of their submission.

The entry that a caller reaches may not hold its job, so it asks the others.
"""

import collections
import datetime
import itertools
import urllib.parse

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
import cowslipgate_transport as transport

CHANNEL = "requested-jobs"
ENTRY_CALLS = "entry-calls"
"""Channel of the HTTP client for other entries."""

RESOURCE_HEADER = "X-Cowslipgate-Resource"
"""Names the job, percent-encoded, in the inquiry of another entry."""

TEAM_HEADER = "X-Cowslipgate-Team"
"""Names the caller's team, percent-encoded, in such an inquiry."""

REPLY_TIMEOUT = datetime.timedelta(milliseconds=1_200)
"""Time for another entry's reply: it answers a cancellation when the runs
have ended, after 1 s at the latest (``Timing.resolve_timeout``), at a tick."""

KEPT_CANCELLED = datetime.timedelta(minutes=2)
"""Time for which a cancelled job is remembered and not run: submissions that
were sent before, or again, come seconds later."""

MAX_CANCELLED = 10_000
"""Cancelled jobs that are remembered, about 3 MB; the oldest goes first."""

KEPT_FORMER = datetime.timedelta(seconds=15)
"""Time for which entries that have left the list of members are asked; they
finish their jobs."""

HTTP_OK = 200
HTTP_GONE = 410


@attrs.define(eq=False)
class _Asked:
    """An inquiry that is not answered yet."""

    inquiry: _requests.Inquiry
    """The request."""

    pending: set[int] = attrs.Factory(set)
    """Numbers of the calls to other entries without a reply."""

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
        # When a job was cancelled and whether it was in flight here, oldest
        # first.
        self._cancelled: collections.OrderedDict[
            tuple[str, str], tuple[datetime.datetime, bool]
        ] = collections.OrderedDict()
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
        )
        self._start(inquiry, ())

    @circuits.handler("inquire")
    def _on_inquire(self, inquiry: _requests.Inquiry) -> None:
        self._start(inquiry, self._list_others())

    @circuits.handler("stop_at")
    def _on_stop_at(self, stops_at: datetime.datetime) -> None:
        self._stops_at = stops_at

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if self._is_stopping():
            for asked in list(self._asked):
                asked.unknown |= bool(asked.pending)
                asked.pending.clear()
                self._answer_when_complete(asked)

    @circuits.handler("submit_job", channel="dispatcher", priority=20)
    def _on_submit_job(
        self, event: circuits.Event, submission: _requests.Submission
    ) -> None:
        key = submission.team, submission.terms.resource
        if self._find_cancelled(key) is None:
            return
        event.stop()
        answer = core.JobAnswer(
            "",
            failure=core.Failure.CANCELLED,
            message="the job was cancelled before",
        )
        refused = _events.job_refused(submission, answer)
        self.fire(refused, _events.GATEWAY)

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
        if answer.status == HTTP_OK:
            try:
                state = msgspec.json.decode(
                    answer.body, type=_requests.JobState
                )
            except msgspec.DecodeError:
                unknown = True
        else:
            unknown = answer.status != HTTP_GONE
        self._record_reply(answer.call.id, state, unknown)

    @circuits.handler("http_failed", channel=ENTRY_CALLS)
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        # Where nothing listens no process holds a job.
        refused = failure.problem is transport.CallProblem.REFUSED
        self._record_reply(failure.call.id, None, not refused)

    def _start(
        self, inquiry: _requests.Inquiry, others: tuple[str, ...]
    ) -> None:
        asked = _Asked(inquiry, state=self._find_state(inquiry))
        self._asked.append(asked)
        if inquiry.cancels:
            self._remember(inquiry, False)
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

    def _is_stopping(self) -> bool:
        return (
            self._stops_at is not None and self._clock.now() >= self._stops_at
        )

    def _ask(self, asked: _Asked, other: str) -> None:
        try:
            address = transport.parse_address(other)
        except ValueError:
            # No entry has written this row.
            return
        number = next(self._numbers)
        inquiry = asked.inquiry
        _, _, path = inquiry.resource.partition("/")
        call = transport.Call(
            number,
            address,
            "DELETE" if inquiry.cancels else "GET",
            "/" + urllib.parse.quote(path),
            {
                RESOURCE_HEADER: urllib.parse.quote(inquiry.resource),
                TEAM_HEADER: urllib.parse.quote(inquiry.team),
            },
            timeout=REPLY_TIMEOUT,
        )
        asked.pending.add(number)
        self.fire(transport.call_http(call), ENTRY_CALLS)

    def _record_reply(
        self, number: int, state: _requests.JobState | None, unknown: bool
    ) -> None:
        for asked in self._asked:
            if number in asked.pending:
                asked.pending.remove(number)
                asked.state = asked.state or state
                asked.unknown |= unknown
                self._answer_when_complete(asked)
                return

    def _answer_when_complete(self, asked: _Asked) -> None:
        if asked.pending or asked.local is not None:
            return
        self._asked.remove(asked)
        inquiry = asked.inquiry
        if RESOURCE_HEADER.lower() not in inquiry.exchange.headers:
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

    def _find_state(
        self, inquiry: _requests.Inquiry
    ) -> _requests.JobState | None:
        state = self._dispatcher.find_state(inquiry.team, inquiry.resource)
        return state or self._get_remembered(inquiry)

    def _get_remembered(
        self, inquiry: _requests.Inquiry
    ) -> _requests.JobState | None:
        key = inquiry.team, inquiry.resource
        was_here = self._find_cancelled(key)
        return _requests.JobState.CANCELLED if was_here else None

    def _find_cancelled(self, key: tuple[str, str]) -> bool | None:
        """Return whether a cancelled job was in flight here.

        It is None for a job that was not cancelled.
        """
        found = self._cancelled.get(key)
        if found is None or self._clock.now() - found[0] > KEPT_CANCELLED:
            return None
        return found[1]

    def _remember(self, inquiry: _requests.Inquiry, was_here: bool) -> None:
        key = inquiry.team, inquiry.resource
        now = self._clock.now()
        was_here = was_here or bool(self._find_cancelled(key))
        self._cancelled[key] = now, was_here
        self._cancelled.move_to_end(key)
        while self._cancelled:
            oldest = next(iter(self._cancelled))
            outdated = now - self._cancelled[oldest][0] > KEPT_CANCELLED
            if not outdated and len(self._cancelled) <= MAX_CANCELLED:
                return
            del self._cancelled[oldest]

    def _list_others(self) -> tuple[str, ...]:
        now = self._clock.now()
        self._former = {
            address: left_at
            for address, left_at in self._former.items()
            if now - left_at <= KEPT_FORMER
        }
        addresses = {member.http for member in self._members}
        addresses |= self._former.keys()
        return tuple(sorted(addresses - {self._member.http}))
