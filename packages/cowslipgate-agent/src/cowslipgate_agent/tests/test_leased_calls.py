"""Tests of the calls of a target that runs tasks under leases."""

from collections.abc import Iterator
import datetime

import circuits
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _leased_calls
from cowslipgate_agent import _runner
from cowslipgate_agent import _runtimes

ADDRESS = transport.Address("127.0.0.1", 1)
KEY = core.AttemptKey(7, 1)
ORDER = run_builders.build_order()
NAME = core.RunName(ORDER.name, ORDER.run)
TARGET_LAPSE = datetime.timedelta(seconds=6)
SPAN = datetime.timedelta(milliseconds=50)


class PlainCodec(_runtimes.RuntimeCodec):
    """Passes typed records through, so that tests need no wire."""

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

    def decode_stop(self, answer: transport.CallAnswer) -> bool:
        """Return whether the status says yes."""
        return answer.status == 200


class Rig(circuits.BaseComponent):
    """The component with whatever it tells, and a manual clock."""

    channel = "rig"

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.codec = PlainCodec()
        self.calls: list[transport.Call] = []
        self.ended: list[core.AttemptReport] = []
        self.told: list[str] = []
        _leased_calls.LeasedCalls(
            self.codec, ADDRESS, run_builders.LEASE, self.clock
        ).register(self)

    @circuits.handler("call_http", channel="target")
    def _on_call_http(self, call: transport.Call) -> None:
        self.calls.append(call)

    @circuits.handler("task_ended", channel="runner")
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        self.ended.append(report)

    @circuits.handler("target_announced", channel="runner")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        self.told.append("announced")

    @circuits.handler("target_left", channel="runner")
    def _on_target_left(self) -> None:
        self.told.append("left")

    @circuits.handler("target_settled", channel="links")
    def _on_target_settled(self) -> None:
        self.told.append("settled")

    def send(self, event: circuits.Event) -> None:
        """Fire an event at the component and let all follow."""
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
        """Let a call fail after its bytes have left."""
        failure = transport.CallFailure(call, problem, sent=True)
        self.send(transport.http_failed(failure))

    def pass_time(self, milliseconds: int) -> None:
        """Let time pass and look at it."""
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self.send(_events.tick())


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Return a rig that has not heard of its target."""
    made = Rig()
    while len(made):
        made.flush()
    yield made


def _build_beat(
    life: int = run_builders.LIFE, number: int = 1, draining: bool = False
) -> _leased_calls.TargetBeat:
    room = core.Resources(1_000, 0, 32_000)
    announcement = core.Announcement(
        "print", "http://127.0.0.1:1", 9, 9, room, room, str(life)
    )
    return _leased_calls.TargetBeat(
        "i-1", life, number, announcement, draining
    )


def _be_reborn(rig: Rig) -> None:
    life = run_builders.LIFE + 9
    rig.send(_events.target_heard(_build_beat(life)))
    rig.answer(rig.calls[-1], run_builders.build_listing(life=life))


def _contact(rig: Rig) -> None:
    rig.send(_events.target_heard(_build_beat()))
    rig.answer(rig.calls[-1], run_builders.build_listing())


def _start(rig: Rig) -> transport.Call:
    start = core.StartTask(KEY, ORDER)
    rig.send(_events.start_task(start, _build_beat().announcement))
    sent = rig.codec.sent
    return rig.calls[[isinstance(s, core.CallStart) for s in sent].index(True)]


def _find_watch(rig: Rig) -> transport.Call:
    """Return the last call that watches the target."""
    return [
        call
        for call, sent in zip(rig.calls, rig.codec.sent, strict=True)
        if isinstance(sent, core.CallWatch)
    ][-1]


def test_target_is_announced_once_its_runs_are_known(rig: Rig) -> None:
    rig.send(_events.target_heard(_build_beat()))
    assert rig.told == []
    rig.answer(rig.calls[-1], run_builders.build_listing())
    assert rig.told == ["settled", "announced"]


def test_run_of_an_earlier_agent_is_stopped_before_the_announcement(
    rig: Rig,
) -> None:
    rig.send(_events.target_heard(_build_beat()))
    stranger = core.RunName("b.0.0.0", 4)
    rig.answer(rig.calls[-1], run_builders.build_listing(running=(stranger,)))
    assert rig.told == []
    stops = [s for s in rig.codec.sent if isinstance(s, core.CallStop)]
    assert [stop.name for stop in stops] == [stranger]


def test_agent_without_a_target_settles_after_a_lease(rig: Rig) -> None:
    rig.pass_time(1_000)
    assert rig.told == []
    rig.pass_time(300)
    assert rig.told == ["settled"]


def test_end_of_a_run_is_told(rig: Rig) -> None:
    _contact(rig)
    call = _start(rig)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 5_050)
    rig.answer(call, accepted)
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    rig.answer(rig.calls[-1], run_builders.build_listing(5_200, ended=(done,)))
    assert [r.outcome for r in rig.ended] == [core.Outcome.FINISHED]
    # The end is acknowledged though nothing runs any more.
    assert rig.codec.sent[-1].acknowledged == 1


def test_order_without_an_answer_is_stopped(rig: Rig) -> None:
    _contact(rig)
    call = _start(rig)
    rig.fail(call, transport.CallProblem.TIMEOUT)
    assert any(isinstance(s, core.CallStop) for s in rig.codec.sent)
    assert rig.ended == []


def test_stop_without_an_answer_is_sent_again(rig: Rig) -> None:
    _contact(rig)
    _start(rig)
    rig.send(_events.stop_task(core.StopTask(KEY, "job-1.0.1")))
    rig.fail(rig.calls[-1], transport.CallProblem.TIMEOUT)
    stops = [s for s in rig.codec.sent if isinstance(s, core.CallStop)]
    assert len(stops) == 2


def test_target_that_listens_no_more_has_lost_its_runs(rig: Rig) -> None:
    _contact(rig)
    _start(rig)
    rig.fail(_find_watch(rig), transport.CallProblem.UNREACHABLE)
    assert [(r.outcome, r.reason) for r in rig.ended] == [
        (core.Outcome.LOST, core.Reason.TARGET_UNREACHABLE)
    ]


def test_target_that_listens_again_in_the_same_life_serves_again() -> None:
    rig = Rig()
    executor = core.Executor(1, 0)
    _runner.Runner(executor, rig.clock, TARGET_LAPSE).register(rig)
    _contact(rig)
    assert executor.state == "serving"
    order = core.Dispatch(7, 1, 0, (ORDER,))
    rig.fire(_events.entry_heard(order), "runner")
    rig.send(_events.tick())
    rig.fail(_find_watch(rig), transport.CallProblem.UNREACHABLE)
    assert executor.slots == 0
    rig.pass_time(1_500)
    rig.send(_events.target_heard(_build_beat()))
    rig.answer(rig.calls[-1], run_builders.build_listing(7_000))
    assert executor.slots > 0


@pytest.mark.parametrize(
    ("milliseconds", "reasons"),
    [(1_050, []), (1_150, [core.Reason.LEASE_LAPSED])],
)
def test_runs_are_lost_when_the_agent_stood_still_for_a_lease(
    rig: Rig, milliseconds: int, reasons: list[core.Reason]
) -> None:
    _contact(rig)
    _start(rig)
    rig.pass_time(milliseconds)
    assert [r.reason for r in rig.ended] == reasons


def _list_watches(rig: Rig) -> list[transport.Call]:
    return [
        call
        for call, sent in zip(rig.calls, rig.codec.sent, strict=True)
        if isinstance(sent, core.CallWatch)
    ]


def test_end_is_heard_soon_though_the_answer_to_a_watch_is_lost(
    rig: Rig,
) -> None:
    _contact(rig)
    _start(rig)
    before = len(_list_watches(rig))
    rig.pass_time(20)
    assert len(_list_watches(rig)) == before
    rig.pass_time(20)
    assert len(_list_watches(rig)) == before + 1
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    listing = run_builders.build_listing(5_200, ended=(done,))
    rig.answer(_find_watch(rig), listing)
    assert [r.outcome for r in rig.ended] == [core.Outcome.FINISHED]


def test_watches_under_way_are_few_while_none_is_answered(rig: Rig) -> None:
    _contact(rig)
    _start(rig)
    before = len(_list_watches(rig))
    for _ in range(12):
        rig.pass_time(50)
    sent = _list_watches(rig)
    assert len(sent) == before - 1 + _leased_calls.MAX_WATCHES
    # One that is given up makes place for another.
    rig.fail(sent[before - 1], transport.CallProblem.TIMEOUT)
    rig.pass_time(1)
    assert len(_list_watches(rig)) == len(sent) + 1


def test_answers_to_watches_may_overtake_each_other(rig: Rig) -> None:
    _contact(rig)
    call = _start(rig)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 5_050)
    rig.answer(call, accepted)
    rig.pass_time(40)
    first, second = _list_watches(rig)[-2:]
    done = core.ListedEnd(1, NAME, core.RunEnd.DONE)
    rig.answer(second, run_builders.build_listing(5_300, ended=(done,)))
    running = run_builders.build_listing(5_200, running=(NAME,))
    rig.answer(first, running)
    # The run has ended since, so it is no stranger that has to be stopped.
    assert not any(isinstance(s, core.CallStop) for s in rig.codec.sent)


def test_heartbeat_that_is_overtaken_changes_nothing(rig: Rig) -> None:
    _contact(rig)
    rig.send(_events.target_heard(_build_beat(number=3, draining=True)))
    told = len(rig.told)
    rig.send(_events.target_heard(_build_beat(number=2)))
    assert len(rig.told) == told
    assert rig.told[-1] == "left"


def test_heartbeats_of_a_new_life_are_numbered_anew(rig: Rig) -> None:
    _contact(rig)
    rig.send(_events.target_heard(_build_beat(number=9)))
    told = len(rig.told)
    _be_reborn(rig)
    assert rig.told[told:] == ["announced"]


def test_heartbeat_of_a_former_life_changes_nothing(rig: Rig) -> None:
    _contact(rig)
    _be_reborn(rig)
    told = len(rig.told)
    rig.send(_events.target_heard(_build_beat(draining=True)))
    assert len(rig.told) == told
