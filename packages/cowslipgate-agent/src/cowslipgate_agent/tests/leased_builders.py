"""Builders for tests of the calls of a target that runs tasks under leases."""

import datetime

import circuits
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport

from cowslipgate_agent import _events
from cowslipgate_agent import _leased_calls
from cowslipgate_agent import _runtimes

ADDRESS = transport.Address("127.0.0.1", 1)
KEY = core.AttemptKey(7, 1)
ORDER = run_builders.build_order()
SPAN = datetime.timedelta(milliseconds=50)
RUN_LIMIT = datetime.timedelta(milliseconds=1_250)


class PlainCodec(_runtimes.RuntimeCodec):
    """Codec that passes typed records through without encoding them."""

    def __init__(self) -> None:
        self.sent: list[core.RunAction] = []
        self.replies: dict[bytes, object] = {}

    def _encode(self, action: core.RunAction) -> _runtimes.RuntimeRequest:
        self.sent.append(action)
        return _runtimes.RuntimeRequest("POST", "/", {}, b"")

    encode_watch = _encode
    encode_start = _encode
    encode_stop = _encode

    def decode_watch(self, answer: transport.CallAnswer) -> core.WatchReply:
        """Return the reply that a test has prepared."""
        return self.replies[answer.body]

    def decode_start(
        self, answer: transport.CallAnswer
    ) -> _runtimes.StartAnswer:
        """Return the reply that a test has prepared."""
        return self.replies[answer.body]

    def decode_stop(
        self, answer: transport.CallAnswer
    ) -> _runtimes.StopAnswer:
        """Return the reply that a test has prepared, or acceptance."""
        reply = self.replies.get(answer.body)
        if isinstance(reply, _runtimes.StopAnswer):
            return reply
        return _runtimes.StopAnswer(answer.status == 200, 0)


class LeasedCallsHarness(circuits.BaseComponent):
    """The component with a record of its events, and a manual clock."""

    channel = "harness"

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.codec = PlainCodec()
        self.calls: list[transport.Call] = []
        self.ended: list[core.AttemptReport] = []
        self.recorded_events: list[str] = []
        self.announcement: core.Announcement | None = None
        self.executor = core.Executor(1, 0)
        self.unclear: list[core.WireError] = []
        _leased_calls.LeasedCalls(
            self.codec,
            ADDRESS,
            run_builders.LEASE,
            self.clock,
            self.executor,
            RUN_LIMIT,
        ).register(self)

    @circuits.handler("call_http", channel="target")
    def _on_call_http(self, call: transport.Call) -> None:
        self.calls.append(call)

    @circuits.handler("task_ended", channel="runner")
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        self.ended.append(report)

    @circuits.handler("target_message_invalid", channel="*")
    def _on_target_message_invalid(self, error: core.WireError) -> None:
        self.unclear.append(error)

    @circuits.handler("target_announced", channel="runner")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        self.recorded_events.append("announced")
        self.announcement = announcement

    @circuits.handler("target_left", channel="runner")
    def _on_target_left(self) -> None:
        self.recorded_events.append("left")

    @circuits.handler("target_runs_known", channel="links")
    def _on_target_runs_known(self) -> None:
        self.recorded_events.append("runs known")

    def send(self, event: circuits.Event) -> None:
        """Fire an event at the component and process what follows."""
        self.fire(event, "target")
        while len(self):
            self.flush()

    def answer(self, call: transport.Call, reply: object) -> None:
        """Answer a call."""
        self.clock.advance(SPAN)
        body = str(len(self.codec.replies)).encode()
        self.codec.replies[body] = reply
        answered = transport.CallAnswer(call, 200, {}, body)
        self.send(transport.http_answered(answered))

    def fail(
        self, call: transport.Call, problem: transport.CallProblem
    ) -> None:
        """Fail a call whose request was sent."""
        failure = transport.CallFailure(call, problem, sent=True)
        self.send(transport.http_failed(failure))

    def pass_time(self, milliseconds: int) -> None:
        """Advance the clock and fire a tick."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self.send(_events.tick())

    def pause(self, milliseconds: int, suspended: bool) -> None:
        """Let the process stand still, and fire a tick when it goes on.

        :param suspended: whether its VM was suspended; its steady clock
            counts a pause of the process alone
        """
        duration = datetime.timedelta(milliseconds=milliseconds)
        if suspended:
            self.clock.suspend(duration)
        else:
            self.clock.advance(duration)
        self.send(_events.tick())


def build_beat(
    incarnation: int = run_builders.INCARNATION,
    number: int = 1,
    draining: bool = False,
    instance: str = "i-1",
    labels: tuple[str, ...] = (),
) -> _leased_calls.TargetHeartbeat:
    room = core.Resources(1_000, 0, 32_000, labels)
    announcement = core.Announcement(
        "print", "http://127.0.0.1:1", 9, 9, room, room, str(incarnation)
    )
    return _leased_calls.TargetHeartbeat(
        instance, incarnation, number, announcement, draining
    )


def announce_next_target(harness: LeasedCallsHarness) -> None:
    """Let another target send a heartbeat beside the agent."""
    beat = build_beat(run_builders.INCARNATION + 1, instance="i-2")
    harness.send(_events.target_heartbeat_received(beat))


def replace_target(harness: LeasedCallsHarness) -> None:
    """Let another target take the place of the first, and answer for it."""
    announce_next_target(harness)
    harness.pass_time(40)
    harness.answer(find_watch(harness), core.Replaced())
    incarnation = run_builders.INCARNATION + 1
    listing = run_builders.build_listing(incarnation=incarnation)
    harness.pass_time(100)
    # A target is announced after the second list.
    for _ in range(2):
        harness.answer(find_watch(harness), listing)


def connect_target(harness: LeasedCallsHarness) -> None:
    harness.send(_events.target_heartbeat_received(build_beat()))
    for _ in range(2):
        harness.answer(harness.calls[-1], run_builders.build_listing())


def start_task(harness: LeasedCallsHarness) -> transport.Call:
    start = core.StartTask(KEY, ORDER)
    harness.send(_events.start_task(start, harness.announcement))
    sent = harness.codec.sent
    return harness.calls[
        [isinstance(s, core.CallStart) for s in sent].index(True)
    ]


def find_start(harness: LeasedCallsHarness) -> transport.Call:
    """Return the latest order to start a run."""
    return [
        call
        for call, sent in zip(harness.calls, harness.codec.sent, strict=True)
        if isinstance(sent, core.CallStart)
    ][-1]


def find_watch(harness: LeasedCallsHarness) -> transport.Call:
    """Return the latest watch."""
    return [
        call
        for call, sent in zip(harness.calls, harness.codec.sent, strict=True)
        if isinstance(sent, core.CallWatch)
    ][-1]
