"""Calls of a target that runs tasks under leases.

It replaces ``_target_calls`` and handles and fires the same events. While
tasks run, a watch is in progress, and more if it is not answered in time;
orders use separate connections.
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
"""Time for an answer to an order. Targets answer within a few milliseconds,
and a task whose order was lost should start elsewhere soon."""

WATCH_RESEND_AFTER = datetime.timedelta(milliseconds=30)
"""Time without an answer after which another watch is sent. On a busy target
a task ends every 10 to 25 ms, and a lost answer delays their outcomes."""

MAX_WATCHES = 4
"""Watches in progress at once; a lost one times out after 650 ms."""

WATCH_REPLY_TIMEOUT = datetime.timedelta(milliseconds=300)
"""Time for an answer to a watch in addition to the target's allowed wait."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Time between a failed watch and the next."""

ANNOUNCE_INTERVAL = datetime.timedelta(seconds=1)
"""Least time between two announcements that follow from answers; an answer
shows that a target lives whose heartbeats are lost."""

BROKEN_CALLS = 2
"""Calls in a row whose connection broke, after which a target gets no tasks;
a single one may have met the end of an idle connection."""

STARTUP_GRACE = datetime.timedelta(milliseconds=200)
"""Time added to a lease after the start of the process; by then every run
that an earlier process of the agent ordered has ended."""

_NOT_CONNECTED = frozenset(
    (transport.CallProblem.REFUSED, transport.CallProblem.UNREACHABLE)
)


@attrs.frozen(eq=False)
class TargetHeartbeat:
    """A heartbeat of one incarnation of a target."""

    instance: str
    """Id of the target."""

    incarnation: int
    """Start of the target, in Unix milliseconds of its clock; zero unknown."""

    number: int
    """Rises with each heartbeat of an incarnation, which reveals late ones."""

    announcement: core.Announcement
    """What the target offers."""

    draining: bool
    """Whether the target is about to leave."""

    clock_ms: int = 0
    """Its clock when it sent the heartbeat, in milliseconds; zero unknown."""

    cold_left: datetime.timedelta = datetime.timedelta(0)
    """Time for which it still runs tasks slower than usual."""


@attrs.frozen
class _SentWatch:
    """A watch that is not answered yet."""

    at: datetime.timedelta
    """Steady time at which it was sent."""

    instance: str
    """Target that it names; empty for any."""

    fence: int
    """Fencing token that it carries."""


@attrs.frozen
class _SentOrder:
    """An order that is not answered yet."""

    order: core.CallStart | core.CallStop
    """The order."""

    incarnation: int
    """Incarnation of the target that was known when it was sent."""

    clock_ms: int
    """Earliest time that the target's clock could show then."""


class LeasedCalls(circuits.BaseComponent):
    """Client of a target that runs tasks under leases; owns the tracker.

    :param lease: longest lease that the target grants
    :param executor: knows the signs that runs rest on
    :param run_limit: time after the last sign that a run rests on by which
        it must have ended, even if this process does not run meanwhile;
        leases end by then
    :param renewal: longest lease to ask for; by default ``lease``
    """

    channel = CHANNEL

    def __init__(
        self,
        codec: _runtimes.RuntimeCodec,
        address: transport.Address,
        lease: datetime.timedelta,
        clock: core.Clock,
        executor: core.Executor,
        run_limit: datetime.timedelta,
        renewal: datetime.timedelta | None = None,
    ) -> None:
        super().__init__()
        self._executor = executor
        self._run_limit = run_limit
        self._codec = codec
        self._address = address
        self._clock = clock
        self._tracker = core.RunTracker(lease, renewal)
        self._pauses = core.Pauses()
        self._steady_before = steady = clock.read_steady()
        # An earlier process may have asked for a lease just now.
        self._tracker.leased_until = steady + lease
        self._record_lease()
        self._numbers = itertools.count(1)
        self._orders: dict[int, _SentOrder] = {}
        self._watches: dict[int, _SentWatch] = {}
        self._next_watch = steady
        self._earlier_runs_end_at = steady + lease + STARTUP_GRACE
        self._runs_known = False
        self._refused_stops: set[core.RunName] = set()
        self._announce_at = steady
        self._broken_calls = 0
        self._beat: TargetHeartbeat | None = None
        self._successor: TargetHeartbeat | None = None
        self._doubtful: TargetHeartbeat | None = None
        self._doubted_at = steady
        # What the runner decides by; None if by nothing.
        self._announced: core.Announcement | None = None
        self._beat_at = clock.now()

    @property
    def tracker(self) -> core.RunTracker:
        """Runs at the target and their leases."""
        return self._tracker

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._send_due_watch()

    @circuits.handler("target_heartbeat_received")
    def _on_target_heartbeat_received(self, beat: TargetHeartbeat) -> None:
        self._begin_turn()
        if self._is_outdated(beat):
            if self._tracker.is_outdated(beat.incarnation):
                self._doubt(beat)
            return
        if len(self._tracker) and beat.instance != self._tracker.instance:
            # The target before may still run tasks. A refused connection, an
            # answer of another target or the end of the lease shows the end.
            self._successor = beat
            self._withhold()
            self._send_due_watch()
            return
        self._accept_heartbeat(beat)
        self._send_due_watch()

    def _doubt(self, beat: TargetHeartbeat) -> None:
        # A late heartbeat, or one of a new life that has begun after the time
        # of day was set back. The next list tells; until then either may hold.
        self._doubtful = beat
        self._doubted_at = now = self._clock.read_steady()
        self._tracker.ask_for_list(now)
        self._withhold()
        self._send_watch(now)

    def _settle_doubt(self, reply: core.WatchReply, watch: _SentWatch) -> None:
        beat = self._doubtful
        if beat is None or watch.at < self._doubted_at:
            return
        if isinstance(reply, core.StaleToken):
            return
        self._doubtful = None
        present = _find_present_life(reply, self._tracker)
        if present == (beat.instance, beat.incarnation) or (
            present is None and beat.instance != self._tracker.instance
        ):
            self._accept_heartbeat(beat)

    def _accept_heartbeat(self, beat: TargetHeartbeat) -> None:
        now = self._clock.read_steady()
        self._beat = beat
        self._beat_at = self._clock.now()
        self._executor.cold_until = self._beat_at + beat.cold_left
        self._perform(
            self._tracker.handle_heartbeat(
                beat.instance, beat.incarnation, now, beat.clock_ms
            )
        )
        self._announce()

    def _accept_successor(self) -> None:
        beat = self._successor
        if beat is None or len(self._tracker):
            return
        self._successor = None
        if not self._is_outdated(beat):
            self._accept_heartbeat(beat)

    def _is_outdated(self, beat: TargetHeartbeat) -> bool:
        if self._tracker.is_outdated(beat.incarnation):
            return True
        successor = self._successor
        if successor and 0 < beat.incarnation < successor.incarnation:
            return True
        return any(
            (last.instance, last.incarnation)
            == (beat.instance, beat.incarnation)
            and beat.number < last.number
            for last in (self._beat, successor)
            if last is not None
        )

    @circuits.handler("target_ended")
    def _on_target_ended(self, instance: str) -> None:
        if self._successor and instance == self._successor.instance:
            self._successor = None
        if self._beat is not None and instance == self._beat.instance:
            self._beat = None
            self._announced = None
            self.fire(_events.target_left(), "runner")

    @circuits.handler("start_task")
    def _on_start_task(
        self, start: core.StartTask, announcement: core.Announcement
    ) -> None:
        now = self._begin_turn()
        beat = self._beat
        if beat is None or beat.draining or announcement != self._announced:
            # Decided before the target was known to have changed.
            self._refuse_start(start)
            return
        limit = self._find_lease_limit(now)
        self._perform(self._tracker.start(start.key, start.order, now, limit))
        self.fire(
            _events.start_ordered(
                start.key,
                announcement.life,
                self._beat_at,
                self._tracker.fence,
            ),
            "agent-log",
        )
        self._record_lease()
        self._send_due_watch()

    def _refuse_start(self, start: core.StartTask) -> None:
        report = core.AttemptReport(
            start.key.attempt,
            core.Outcome.NOT_STARTED,
            core.Reason.NOT_SERVING,
        )
        self.fire(_events.task_ended(start.key, report), "runner")

    @circuits.handler("stop_task")
    def _on_stop_task(self, stop: core.StopTask) -> None:
        now = self._begin_turn()
        self._perform(self._tracker.stop(stop.key, now))

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._begin_turn()
        if not self._runs_known and now >= self._earlier_runs_end_at:
            self._report_runs_known()
        if len(self._tracker) and self._tracker.has_expired(now):
            self._perform(self._tracker.end_lapsed_runs(now))
            self._withhold()
        self._repeat_stops(now)
        self._send_due_watch()

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        self._begin_turn()
        self._broken_calls = 0
        watch = self._watches.pop(answer.call.id, None)
        if watch is not None:
            if self._names_present_target(watch):
                self._handle_watch_reply(answer, watch)
            self._send_due_watch()
            return
        sent = self._orders.pop(answer.call.id, None)
        if sent is not None:
            clock_ms = _handle_order_answer(sent.order, self, answer)
            self._check_clock(sent, clock_ms)
        self._send_due_watch()

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        now = self._begin_turn()
        self._count_broken_call(failure.problem, now)
        watch = self._watches.pop(failure.call.id, None)
        if watch is not None:
            if not self._watches:
                self._next_watch = now + RETRY_INTERVAL
            if self._names_present_target(watch):
                self._handle_watch_failure(failure, now)
            self._accept_successor()
            return
        sent = self._orders.pop(failure.call.id, None)
        if sent is not None and isinstance(sent.order, core.CallStart):
            actions = self._tracker.handle_start_failure(
                sent.order.name, failure.sent, now
            )
            self._perform(actions)
        elif sent is not None:
            self._repeat_stop(sent.order.name, failure.problem, now)
        self._send_due_watch()

    def _begin_turn(self) -> datetime.timedelta:
        """Notice a pause of this process; return the steady time."""
        steady = self._clock.read_steady()
        before, self._steady_before = self._steady_before, steady
        pause = self._pauses.measure(self._clock.now())
        if pause is not None:
            suspended = pause - (steady - before)
            self.fire(_events.agent_paused(pause, suspended))
            self._handle_pause(steady - before, steady)
        return steady

    def _handle_pause(
        self, pause: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        # The steady clock counts a pause in which only processes stood still.
        # Nothing tells whether the target did as well, until it answers.
        self._tracker.handle_pause(pause, now)
        self._earlier_runs_end_at += pause
        self._record_lease()
        self._send_watch(now)

    def _names_present_target(self, watch: _SentWatch) -> bool:
        # Word of an earlier target shows nothing about runs at the next one.
        return watch.instance in ("", self._tracker.instance)

    def _count_broken_call(
        self, problem: transport.CallProblem, now: datetime.timedelta
    ) -> None:
        if problem in _NOT_CONNECTED:
            self._broken_calls = BROKEN_CALLS
        elif problem is transport.CallProblem.CLOSED:
            self._broken_calls += 1
        if self._broken_calls >= BROKEN_CALLS:
            self._broken_calls = 0
            self._announce_at = now
            self.fire(_events.target_disconnected(), "runner")

    def _repeat_stop(
        self,
        name: core.RunName,
        problem: transport.CallProblem,
        now: datetime.timedelta,
    ) -> None:
        # A target that closes each connection would be called without pause.
        if problem is transport.CallProblem.TIMEOUT:
            self._perform(self._tracker.handle_stop_failure(name, now))
        else:
            self._refused_stops.add(name)

    def _repeat_stops(self, now: datetime.timedelta) -> None:
        names, self._refused_stops = self._refused_stops, set()
        for name in sorted(names, key=str):
            self._perform(self._tracker.handle_stop_failure(name, now))

    def _handle_watch_reply(
        self, answer: transport.CallAnswer, watch: _SentWatch
    ) -> None:
        now = self._clock.read_steady()
        try:
            reply = self._codec.decode_watch(answer)
        except core.WireError as error:
            self._next_watch = now + RETRY_INTERVAL
            self.fire(_events.target_message_invalid(error))
            return
        were_known = self._tracker.runs_known
        actions = _handle_reply(reply, self._tracker, watch, now)
        if not isinstance(reply, core.Listing) or not reply.complete:
            self._next_watch = now + RETRY_INTERVAL
        if isinstance(reply, core.Listing) and reply.problem:
            error = core.WireError(b"listing", reply.problem)
            self.fire(_events.target_message_invalid(error))
        self._perform(actions)
        self._settle_doubt(reply, watch)
        if self._tracker.runs_known:
            self._report_runs_known()
        if now >= self._announce_at or not were_known:
            self._announce()
        elif not self._is_of_present_life(self._beat):
            self._withhold()

    def _handle_watch_failure(
        self, failure: transport.CallFailure, now: datetime.timedelta
    ) -> None:
        # The target is local, so its process is gone if nothing listens.
        if failure.problem is not transport.CallProblem.REFUSED:
            return
        self._perform(self._tracker.handle_refusal(now))
        self._withhold()
        self._report_runs_known()

    def _check_clock(self, sent: _SentOrder, clock_ms: int) -> None:
        tracker = self._tracker
        if tracker.is_clock_reset(sent.incarnation, sent.clock_ms, clock_ms):
            tracker.handle_clock_reset(self._clock.read_steady())
            self._withhold()

    def handle_start_answer(
        self, order: core.CallStart, answer: transport.CallAnswer
    ) -> int:
        """Handle the answer to an order to start; return its clock."""
        decoded = self._codec.decode_start(answer)
        actions = self._tracker.handle_start_reply(
            order.name,
            decoded.reply,
            decoded.clock_ms,
            self._clock.read_steady(),
        )
        self._perform(actions)
        return decoded.clock_ms

    def handle_stop_answer(
        self, order: core.CallStop, answer: transport.CallAnswer
    ) -> int:
        """Handle the answer to an order to stop; return its clock."""
        now = self._clock.read_steady()
        decoded = self._codec.decode_stop(answer)
        if decoded.accepted:
            self._tracker.handle_stop_reply(order.name, now)
        else:
            self._refused_stops.add(order.name)
        return decoded.clock_ms

    def _report_runs_known(self) -> None:
        if not self._runs_known:
            self._runs_known = True
            self.fire(_events.target_runs_known(), "links")

    def _announce(self) -> None:
        beat = self._beat
        if not self._is_of_present_life(beat):
            self._withhold()
            return
        if self._tracker.runs_known:
            self._announce_at = self._clock.read_steady() + ANNOUNCE_INTERVAL
            self._announced = beat.announcement
            self.fire(_events.target_announced(beat.announcement), "runner")
        elif beat.announcement != self._announced:
            self._withhold()
        if beat.draining:
            self.fire(_events.target_left(), "runner")

    def _is_of_present_life(self, beat: TargetHeartbeat | None) -> bool:
        # A list may show the next life before its first heartbeat arrives.
        if beat is None or self._successor is not None:
            return False
        return beat.incarnation in (0, self._tracker.incarnation)

    def _withhold(self) -> None:
        """Let the runner start nothing by an outdated announcement."""
        if self._announced is not None:
            self._announced = None
            self.fire(_events.target_superseded(), "runner")

    def _send_due_watch(self) -> None:
        self._accept_successor()
        now = self._clock.read_steady()
        if now < self._next_watch or not self._tracker.needs_watch:
            return
        latest = max(
            (watch.at for watch in self._watches.values()), default=None
        )
        if latest is not None and now - latest < WATCH_RESEND_AFTER:
            return
        if len(self._watches) >= MAX_WATCHES:
            return
        self._send_watch(now)

    def _send_watch(self, now: datetime.timedelta) -> None:
        # Runs beside the next target end with the lease that they have.
        limit = now if self._successor else self._find_lease_limit(now)
        watch = self._tracker.watch(now, limit)
        self._record_lease()
        wait = datetime.timedelta(milliseconds=watch.wait_ms)
        number = self._send_request(
            self._codec.encode_watch(watch), wait + WATCH_REPLY_TIMEOUT
        )
        self._watches[number] = _SentWatch(now, watch.instance, watch.fence)

    def _find_lease_limit(
        self, steady: datetime.timedelta
    ) -> datetime.timedelta | None:
        # The age of a sign counts suspensions; what is left of it is a lease.
        now = self._clock.now()
        sign = self._executor.get_lease_sign(now)
        if sign is None:
            return None
        return steady + (sign + self._run_limit - now)

    def _record_lease(self) -> None:
        # A lease never shortens, so it covers a run that starts now as well.
        until = self._tracker.leased_until
        if until is not None:
            left = until - self._clock.read_steady()
            required = self._clock.now() + left - self._run_limit
            known = self._executor.required_sign or required
            self._executor.required_sign = max(known, required)

    def _send_request(
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
                    self._send_order(action, self._codec.encode_start(action))
                case core.CallStop():
                    self._send_order(action, self._codec.encode_stop(action))
                case core.EndRun():
                    self._report_end(action)

    def _send_order(
        self,
        order: core.CallStart | core.CallStop,
        request: _runtimes.RuntimeRequest,
    ) -> None:
        now = self._clock.read_steady()
        self._orders[self._send_request(request)] = _SentOrder(
            order, self._tracker.incarnation, self._tracker.read_clock(now)
        )

    def _report_end(self, end: core.EndRun) -> None:
        report = core.AttemptReport(
            end.key.attempt,
            end.outcome,
            end.reason,
            run_ms=end.run_ms,
            checkpoint=end.checkpoint,
        )
        self.fire(_events.task_ended(end.key, report), "runner")


def _find_present_life(
    reply: core.WatchReply, tracker: core.RunTracker
) -> tuple[str, int] | None:
    """Return the id and the start of who answered; None if it has another."""
    if isinstance(reply, core.Replaced):
        return None
    return tracker.instance, tracker.incarnation


@functools.singledispatch
def _handle_reply(
    reply: core.WatchReply,
    tracker: core.RunTracker,
    watch: _SentWatch,
    now: datetime.timedelta,
) -> list[core.RunAction]:
    """Apply the answer to a watch to the run tracker."""
    raise NotImplementedError(type(reply).__name__)


@_handle_reply.register
def _handle_listing(
    reply: core.Listing,
    tracker: core.RunTracker,
    watch: _SentWatch,
    now: datetime.timedelta,
) -> list[core.RunAction]:
    return tracker.handle_listing(reply, watch.at, now)


@_handle_reply.register
def _handle_stale_token(
    reply: core.StaleToken,
    tracker: core.RunTracker,
    watch: _SentWatch,
    now: datetime.timedelta,
) -> list[core.RunAction]:
    if watch.fence == tracker.fence:
        tracker.handle_stale_token(reply.clock_ms, now)
    return []


@_handle_reply.register
def _handle_replaced(
    reply: core.Replaced,
    tracker: core.RunTracker,
    watch: _SentWatch,
    now: datetime.timedelta,
) -> list[core.RunAction]:
    return tracker.end_all_runs(core.Reason.TARGET_REPLACED, now)


@functools.singledispatch
def _handle_order_answer(
    order: core.CallStart | core.CallStop,
    calls: LeasedCalls,
    answer: transport.CallAnswer,
) -> int:
    """Handle the answer to an order; return the clock that it shows."""
    raise NotImplementedError(type(order).__name__)


@_handle_order_answer.register
def _handle_start_answer(
    order: core.CallStart, calls: LeasedCalls, answer: transport.CallAnswer
) -> int:
    return calls.handle_start_answer(order, answer)


@_handle_order_answer.register
def _handle_stop_answer(
    order: core.CallStop, calls: LeasedCalls, answer: transport.CallAnswer
) -> int:
    return calls.handle_stop_answer(order, answer)
