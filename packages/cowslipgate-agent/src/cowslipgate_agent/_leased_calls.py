"""Runs tasks on a target that keeps them under leases.

It takes the place of ``_target_calls``: the same events come and go. While
anything runs a watch is under way, and another one if it stays unanswered for
long; orders go by connections of their own.
"""

import datetime
import functools
import itertools

import attrs
import circuits

from cowslipgate_agent import _events
from cowslipgate_agent import _runtimes
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "target"

ORDER_TIMEOUT = datetime.timedelta(milliseconds=150)
"""Time for an answer to an order; targets answer within a few milliseconds,
and a run whose order went astray should go elsewhere soon."""

WATCH_PATIENCE = datetime.timedelta(milliseconds=30)
"""Silence of a watch after which another one is sent: on a busy target a task
ends every 10 to 25 ms, and while an answer is lost no end is heard of."""

MAX_WATCHES = 4
"""Watches under way at once; each one lost is given up after 650 ms."""

WATCH_MARGIN = datetime.timedelta(milliseconds=300)
"""Time for an answer to a watch beyond the time that the target may wait."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Time between a watch that failed and the next."""

DISCOVERY_GRACE = datetime.timedelta(milliseconds=200)
"""Added to a lease after the start of the process, when nothing runs that an
earlier process of the agent has ordered."""


@attrs.frozen(eq=False)
class TargetBeat:
    """A heartbeat of a target that tells one life from another."""

    instance: str
    """Id of the target."""

    life: int
    """When the target started, in its own Unix milliseconds; zero unknown."""

    number: int
    """Rises with each heartbeat of one life, so that a late one shows."""

    announcement: core.Announcement
    """What it offers."""

    draining: bool
    """Whether it is about to leave."""


class LeasedCalls(circuits.BaseComponent):
    """Owns the run book and its calls of the target."""

    channel = CHANNEL

    def __init__(
        self,
        codec: _runtimes.RuntimeCodec,
        address: transport.Address,
        lease: datetime.timedelta,
        clock: core.Clock,
    ) -> None:
        super().__init__()
        self._codec = codec
        self._address = address
        self._clock = clock
        self._book = core.RunBook(lease)
        self._numbers = itertools.count(1)
        self._orders: dict[int, core.CallStart | core.CallStop] = {}
        self._watches: dict[int, datetime.datetime] = {}
        self._next_watch = clock.now()
        self._free_at = clock.now() + lease + DISCOVERY_GRACE
        self._settled = False
        self._beat: TargetBeat | None = None

    @property
    def book(self) -> core.RunBook:
        """The runs."""
        return self._book

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._watch()

    @circuits.handler("target_heard")
    def _on_target_heard(self, beat: TargetBeat) -> None:
        if self._is_outdated(beat):
            return
        now = self._clock.now()
        self._beat = beat
        self._perform(self._book.hear_target(beat.instance, beat.life, now))
        self._announce()
        self._watch()

    def _is_outdated(self, beat: TargetBeat) -> bool:
        if self._book.is_outdated(beat.life):
            return True
        last = self._beat
        if last is None or (last.instance, last.life) != (
            beat.instance,
            beat.life,
        ):
            return False
        return beat.number < last.number

    @circuits.handler("target_gone")
    def _on_target_gone(self, instance: str) -> None:
        if self._beat is not None and instance == self._beat.instance:
            self._beat = None
            self.fire(_events.target_left(), "runner")

    @circuits.handler("start_task")
    def _on_start_task(
        self, start: core.StartTask, announcement: core.Announcement
    ) -> None:
        now = self._clock.now()
        self._perform(self._book.start(start.key, start.order, now))
        self._watch()

    @circuits.handler("stop_task")
    def _on_stop_task(self, stop: core.StopTask) -> None:
        self._perform(self._book.stop(stop.key, self._clock.now()))

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        if not self._settled and now >= self._free_at:
            self._settle()
        if len(self._book) and self._book.has_lapsed(now):
            reason = core.Reason.LEASE_LAPSED
            self._perform(self._book.lose_target(reason, now))
        self._watch()

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        asked_at = self._watches.pop(answer.call.id, None)
        if asked_at is not None:
            self._hear_watch(answer, asked_at)
            return
        order = self._orders.pop(answer.call.id, None)
        if isinstance(order, core.CallStart):
            self._hear_start(order, answer)
        elif order is not None:
            self._hear_stop(order, answer)
        self._watch()

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        now = self._clock.now()
        if self._watches.pop(failure.call.id, None) is not None:
            if not self._watches:
                self._next_watch = now + RETRY_INTERVAL
            self._miss_watch(failure, now)
            return
        order = self._orders.pop(failure.call.id, None)
        if isinstance(order, core.CallStart):
            actions = self._book.miss_start(order.name, failure.sent, now)
            self._perform(actions)
        elif order is not None:
            self._perform(self._book.miss_stop(order.name, now))
        self._watch()

    def _hear_watch(
        self, answer: transport.CallAnswer, asked_at: datetime.datetime
    ) -> None:
        now = self._clock.now()
        try:
            reply = self._codec.decode_watch(answer)
        except core.WireError as error:
            self._next_watch = now + RETRY_INTERVAL
            self.fire(_events.target_unclear(error))
            return
        actions = _take_reply(reply, self._book, asked_at, now)
        if not isinstance(reply, core.Listing):
            self._next_watch = now + RETRY_INTERVAL
        self._perform(actions)
        if self._book.settled:
            self._settle()
        self._announce()
        self._watch()

    def _miss_watch(
        self, failure: transport.CallFailure, now: datetime.datetime
    ) -> None:
        # Beside the agent, nothing listens only when no target runs.
        if failure.problem is not transport.CallProblem.UNREACHABLE:
            return
        reason = core.Reason.TARGET_UNREACHABLE
        self._perform(self._book.lose_target(reason, now))
        self._settle()

    def _hear_start(
        self, order: core.CallStart, answer: transport.CallAnswer
    ) -> None:
        heard = self._codec.decode_start(answer)
        actions = self._book.hear_start(
            order.name, heard.reply, heard.clock_ms, self._clock.now()
        )
        self._perform(actions)

    def _hear_stop(
        self, order: core.CallStop, answer: transport.CallAnswer
    ) -> None:
        now = self._clock.now()
        if self._codec.decode_stop(answer):
            self._book.hear_stop(order.name, now)
        else:
            self._perform(self._book.miss_stop(order.name, now))

    def _settle(self) -> None:
        if not self._settled:
            self._settled = True
            self.fire(_events.target_settled(), "links")

    def _announce(self) -> None:
        beat = self._beat
        if beat is None or not self._book.settled:
            return
        self.fire(_events.target_announced(beat.announcement), "runner")
        if beat.draining:
            self.fire(_events.target_left(), "runner")

    def _watch(self) -> None:
        now = self._clock.now()
        if now < self._next_watch or not self._book.needs_watch:
            return
        latest = max(self._watches.values(), default=None)
        if latest is not None and now - latest < WATCH_PATIENCE:
            return
        if len(self._watches) >= MAX_WATCHES:
            return
        watch = self._book.watch(now)
        wait = datetime.timedelta(milliseconds=watch.wait_ms)
        number = self._call(
            self._codec.encode_watch(watch), wait + WATCH_MARGIN
        )
        self._watches[number] = now

    def _call(
        self,
        request: _runtimes.RuntimeRequest,
        timeout: datetime.timedelta = ORDER_TIMEOUT,
    ) -> int:
        call = transport.Call(
            next(self._numbers),
            self._address,
            request.method,
            request.path,
            request.headers,
            request.body,
            timeout,
        )
        self.fire(transport.call_http(call), CHANNEL)
        return call.id

    def _perform(self, actions: list[core.RunAction]) -> None:
        for action in actions:
            match action:
                case core.CallStart():
                    request = self._codec.encode_start(action)
                    self._orders[self._call(request)] = action
                case core.CallStop():
                    request = self._codec.encode_stop(action)
                    self._orders[self._call(request)] = action
                case core.EndRun():
                    self._end(action)

    def _end(self, end: core.EndRun) -> None:
        report = core.AttemptReport(
            end.key.attempt,
            end.outcome,
            end.reason,
            run_ms=end.run_ms,
            checkpoint=end.checkpoint,
        )
        self.fire(_events.task_ended(end.key, report), "runner")


@functools.singledispatch
def _take_reply(
    reply: core.WatchReply,
    book: core.RunBook,
    asked_at: datetime.datetime,
    now: datetime.datetime,
) -> list[core.RunAction]:
    """Hand the answer to a watch to the book."""
    raise NotImplementedError(type(reply).__name__)


@_take_reply.register
def _take_listing(
    reply: core.Listing,
    book: core.RunBook,
    asked_at: datetime.datetime,
    now: datetime.datetime,
) -> list[core.RunAction]:
    return book.hear_listing(reply, asked_at, now)


@_take_reply.register
def _take_outranked(
    reply: core.Outranked,
    book: core.RunBook,
    asked_at: datetime.datetime,
    now: datetime.datetime,
) -> list[core.RunAction]:
    book.hear_outranked(reply.clock_ms, now)
    return []


@_take_reply.register
def _take_replaced(
    reply: core.Replaced,
    book: core.RunBook,
    asked_at: datetime.datetime,
    now: datetime.datetime,
) -> list[core.RunAction]:
    return book.lose_target(core.Reason.TARGET_REPLACED, now)
