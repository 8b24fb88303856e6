"""Tests that nothing starts by an announcement of an earlier life.

Pattern: a target comes back as another kind, under its id or another one, and
one answer of it is lost or late; or it announces something else in one life.
"""

import datetime

import attrs
import circuits
import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _leased_calls
from cowslipgate_agent import _runner
from cowslipgate_agent import _runtimes
from cowslipgate_agent.tests import leased_builders

TARGET_LAPSE = datetime.timedelta(seconds=6)
NEXT_LIFE = run_builders.INCARNATION + 500
EARLIER = run_builders.INCARNATION - 2_000
"""Start of the next life after the time of day was set back."""

OLD_KIND = ("b",)
NEW_KIND = ("a",)
UNKNOWN_RUN = core.RunName("z.0.0.0", 4)


class Outbox(circuits.BaseComponent):
    """Records what the runner has the links send."""

    channel = "links"

    def __init__(self) -> None:
        super().__init__()
        self.refused: list[core.Reason] = []
        self.reports = 0

    @circuits.handler("report_attempts")
    def _on_report_attempts(self, action: core.SendReports) -> None:
        self.refused.extend(
            report.reason
            for report in action.reports
            if report.outcome is core.Outcome.NOT_STARTED
        )

    @circuits.handler("send_reports")
    def _on_send_reports(self) -> None:
        self.reports += 1


class Agent:
    """Calls of a target that is of one kind, with a runner."""

    def __init__(self) -> None:
        self.harness = leased_builders.LeasedCallsHarness()
        self.executor = core.Executor(1, 0)
        _runner.Runner(
            self.executor, self.harness.clock, TARGET_LAPSE
        ).register(self.harness)
        self.outbox = Outbox().register(self.harness)
        self._attempts = 0
        self.beat(labels=OLD_KIND)
        self.list_runs()
        self.list_runs()

    @property
    def starts(self) -> list[core.CallStart]:
        """Orders that were sent to the target."""
        sent = self.harness.codec.sent
        return [order for order in sent if isinstance(order, core.CallStart)]

    def beat(
        self,
        incarnation: int = run_builders.INCARNATION,
        **values: object,
    ) -> None:
        """Receive a heartbeat."""
        beat = leased_builders.build_beat(incarnation, **values)
        self.harness.send(_events.target_heartbeat_received(beat))

    def list_runs(
        self,
        incarnation: int = run_builders.INCARNATION,
        running: tuple[core.RunName, ...] = (),
        clock_ms: int = 6_000,
    ) -> None:
        """Answer the latest watch, with a clock that has moved on."""
        listing = run_builders.build_listing(
            clock_ms, running, incarnation=incarnation
        )
        watch = leased_builders.find_watch(self.harness)
        self.harness.answer(watch, listing)

    def build_dispatch(self, labels: tuple[str, ...]) -> core.Dispatch:
        """Return an order of another task that requires these labels."""
        self._attempts += 1
        order = attrs.evolve(
            run_builders.build_order(self._attempts, 10 + self._attempts),
            name=f"a.0.0.{self._attempts}",
            needs=core.Resources(labels=labels),
        )
        return core.Dispatch(7, 1, 0, (order,))

    def order(self, labels: tuple[str, ...] = OLD_KIND) -> None:
        """Receive an order."""
        dispatch = self.build_dispatch(labels)
        self.harness.fire(_events.entry_message_received(dispatch), "runner")
        self.harness.send(_events.tick())


@pytest.fixture
def agent() -> Agent:
    """Return an agent whose target serves and is of the old kind."""
    return Agent()


# Guards against a task on a target without the label that it requires, as the
# answer to the first watch of a new life is lost.
def test_nothing_starts_in_a_new_life_until_it_is_dated(agent: Agent) -> None:
    agent.beat(NEXT_LIFE, labels=NEW_KIND)
    watch = leased_builders.find_watch(agent.harness)
    agent.harness.fail(watch, transport.CallProblem.TIMEOUT)
    agent.order()
    assert agent.starts == []
    assert agent.outbox.refused == [core.Reason.NOT_SERVING]
    agent.harness.pass_time(100)
    agent.list_runs(NEXT_LIFE, clock_ms=10)
    agent.order()
    assert agent.starts == []
    agent.order(NEW_KIND)
    assert len(agent.starts) == 1


# Guards against a new life that is dated by the clock of the life before.
def test_late_answer_to_an_order_dates_no_new_life(agent: Agent) -> None:
    agent.order()
    call = agent.harness.calls[agent.harness.codec.sent.index(agent.starts[0])]
    agent.beat(NEXT_LIFE, labels=NEW_KIND)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 90_000)
    agent.harness.answer(call, accepted)
    agent.order(NEW_KIND)
    assert len(agent.starts) == 1
    agent.harness.pass_time(100)
    agent.list_runs(NEXT_LIFE, clock_ms=10)
    agent.order(NEW_KIND)
    assert len(agent.starts) == 2
    assert agent.starts[-1].lease_end_ms < 10_000


# Guards against a start by the labels of the life before, as a list of the new
# one arrives before its first heartbeat.
def test_nothing_starts_in_a_life_known_only_by_its_list(agent: Agent) -> None:
    agent.order()
    agent.harness.pass_time(50)
    agent.list_runs(NEXT_LIFE, clock_ms=10)
    agent.order()
    assert len(agent.starts) == 1
    assert agent.outbox.refused[-1] is core.Reason.NOT_SERVING
    agent.beat(NEXT_LIFE, labels=NEW_KIND)
    agent.list_runs(NEXT_LIFE, clock_ms=20)
    agent.order(NEW_KIND)
    assert len(agent.starts) == 2


# Guards against a start by the labels of the life before, as the next one
# seems to have begun before it: the time of day was set back.
def test_nothing_starts_by_an_older_life_though_the_time_of_day_was_set_back(
    agent: Agent,
) -> None:
    agent.beat(EARLIER, labels=NEW_KIND)
    agent.order()
    assert agent.starts == []
    for clock_ms in (10, 20):
        agent.harness.pass_time(40)
        agent.list_runs(EARLIER, clock_ms=clock_ms)
    agent.order()
    assert agent.starts == []
    agent.order(NEW_KIND)
    assert len(agent.starts) == 1
    # A late heartbeat of the life before makes it the present one no more.
    agent.beat(number=9, labels=OLD_KIND)
    agent.order()
    agent.list_runs(EARLIER, clock_ms=60)
    agent.harness.pass_time(40)
    agent.list_runs(EARLIER, clock_ms=100)
    agent.order()
    assert len(agent.starts) == 1
    agent.order(NEW_KIND)
    assert len(agent.starts) == 2


def test_late_heartbeat_of_an_earlier_life_holds_starts_up_until_a_list(
    agent: Agent,
) -> None:
    agent.beat(EARLIER, labels=NEW_KIND)
    agent.order()
    assert agent.starts == []
    agent.list_runs(clock_ms=6_100)
    agent.order()
    assert len(agent.starts) == 1


# Guards against a target that serves nothing, since the next one seems to have
# begun before it.
def test_next_target_is_taken_though_the_time_of_day_was_set_back(
    agent: Agent,
) -> None:
    agent.beat(EARLIER, labels=NEW_KIND, instance="i-2")
    agent.harness.answer(
        leased_builders.find_watch(agent.harness), core.Replaced()
    )
    for clock_ms in (10, 20):
        agent.harness.pass_time(100)
        agent.list_runs(EARLIER, clock_ms=clock_ms)
    agent.order()
    assert agent.starts == []
    agent.order(NEW_KIND)
    assert len(agent.starts) == 1


# Guards against a start by the labels of the life before, as the first word of
# the new one is its answer to an order, whose clock has begun anew.
@pytest.mark.parametrize("clock_ms", [1, 5_999])
@pytest.mark.parametrize("accepted", [True, False])
def test_nothing_starts_after_an_answer_with_a_clock_that_went_back(
    agent: Agent, accepted: bool, clock_ms: int
) -> None:
    agent.order()
    reply = core.StartReply.ACCEPTED if accepted else core.StartReply.REFUSED
    call = leased_builders.find_start(agent.harness)
    agent.harness.answer(call, _runtimes.StartAnswer(reply, clock_ms))
    agent.order()
    assert len(agent.starts) == 1
    assert agent.outbox.refused[-1] is core.Reason.NOT_SERVING
    # The same holds if the answer to a list and its repetition are lost.
    for _ in range(2):
        watch = leased_builders.find_watch(agent.harness)
        agent.harness.fail(watch, transport.CallProblem.TIMEOUT)
        agent.harness.pass_time(100)
        agent.order()
    assert len(agent.starts) == 1


def test_nothing_starts_after_a_stop_is_answered_with_a_clock_that_went_back(
    agent: Agent,
) -> None:
    agent.order()
    stop = core.StopTask(core.AttemptKey(7, 1), "job-1.0.1")
    agent.harness.send(_events.stop_task(stop))
    call = agent.harness.calls[-1]
    agent.harness.answer(call, _runtimes.StopAnswer(True, 10))
    agent.order()
    assert len(agent.starts) == 1


# Guards against a target that serves nothing any more, since a slow clock or
# an answer that was overtaken counts as one that went back.
def test_target_serves_on_after_an_answer_with_a_slow_clock(
    agent: Agent,
) -> None:
    agent.order()
    call = leased_builders.find_start(agent.harness)
    accepted = _runtimes.StartAnswer(core.StartReply.ACCEPTED, 6_000)
    agent.harness.answer(call, accepted)
    agent.order()
    assert len(agent.starts) == 2


# Guards against a start at the next target by the labels of the one before.
def test_nothing_starts_at_the_next_target_until_it_is_dated(
    agent: Agent,
) -> None:
    agent.beat(NEXT_LIFE, instance="i-2", labels=NEW_KIND)
    agent.order()
    assert agent.starts == []


# Guards against an order that was decided just before the heartbeat of a new
# life and is sent just after it.
def test_start_decided_before_a_heartbeat_is_not_sent_after_it(
    agent: Agent,
) -> None:
    dispatch = agent.build_dispatch(OLD_KIND)
    agent.harness.fire(_events.entry_message_received(dispatch), "runner")
    agent.beat(NEXT_LIFE, labels=NEW_KIND)
    assert agent.starts == []
    assert agent.outbox.refused == [core.Reason.NOT_SERVING]
    assert not agent.executor.running


# Guards against starts on a draining target, or by its earlier labels, as the
# agent does not know all of its runs.
@pytest.mark.parametrize(
    "values", [{"draining": True, "labels": OLD_KIND}, {"labels": NEW_KIND}]
)
def test_change_within_a_life_counts_though_a_run_is_not_known(
    agent: Agent, values: dict[str, object]
) -> None:
    agent.order()
    agent.list_runs(running=(UNKNOWN_RUN,), clock_ms=7_000)
    agent.beat(number=2, **values)
    agent.order()
    assert len(agent.starts) == 1


# Guards against a late heartbeat in the place of a newer one, while the
# runs of the target before have not ended.
@pytest.mark.parametrize(
    "late",
    [
        {"number": 1, "instance": "i-2"},
        {"number": 9, "instance": "i-0", "incarnation": NEXT_LIFE - 1},
    ],
)
def test_late_heartbeat_does_not_replace_that_of_the_next_target(
    agent: Agent, late: dict[str, object]
) -> None:
    agent.order()
    agent.beat(NEXT_LIFE, number=2, instance="i-2", labels=NEW_KIND)
    agent.beat(**{"incarnation": NEXT_LIFE, "labels": OLD_KIND, **late})
    watch = leased_builders.find_watch(agent.harness)
    agent.harness.answer(watch, core.Replaced())
    for clock_ms in (10, 60):
        agent.harness.pass_time(100)
        agent.list_runs(NEXT_LIFE, clock_ms=clock_ms)
    agent.order()
    assert len(agent.starts) == 1
    agent.order(NEW_KIND)
    assert len(agent.starts) == 2


# Guards against entries that go on choosing a target by its earlier labels.
def test_entries_are_told_of_a_change_within_a_life(agent: Agent) -> None:
    before = agent.outbox.reports
    agent.beat(number=2, labels=OLD_KIND)
    assert agent.outbox.reports == before
    agent.beat(number=3, labels=NEW_KIND)
    assert agent.outbox.reports == before + 1


# Guards against a next target that is served though it has said that it ended.
def test_next_target_that_ended_is_not_awaited(agent: Agent) -> None:
    agent.order()
    agent.beat(NEXT_LIFE, instance="i-2", labels=NEW_KIND)
    agent.harness.send(_events.target_ended("i-2"))
    agent.beat(number=2, labels=OLD_KIND)
    agent.list_runs(running=(agent.starts[0].name,), clock_ms=7_000)
    agent.order()
    assert len(agent.starts) == 2


def test_interval_of_announcements_leaves_starts_alone(agent: Agent) -> None:
    interval = _leased_calls.ANNOUNCE_INTERVAL
    agent.order()
    for _ in range(4):
        agent.harness.pass_time(interval // datetime.timedelta(milliseconds=3))
        agent.list_runs(running=(agent.starts[0].name,), clock_ms=9_000)
    agent.order()
    assert len(agent.starts) == 2
