"""Tests of quarantine and probation of a target."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
LAPSE_AFTER = datetime.timedelta(hours=1)
FINISHED = core.AttemptReport(0, core.Outcome.FINISHED)
FAILED = core.AttemptReport(0, core.Outcome.FAILED, core.Reason.TARGET_STATUS)
UNREACHABLE = core.AttemptReport(
    0, core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE
)


class Bench:
    """An executor with a clock, to which jobs are sent one by one."""

    def __init__(self, slots: int = 8) -> None:
        self.executor = builders.build_executor(slots=slots, queue_limit=2)
        self.now = NOW
        self.attempts = 0

    def start(self, job: str) -> core.AttemptKey | None:
        """Dispatch a task; return its key when it was started."""
        self.attempts += 1
        order = builders.build_order(self.attempts, job)
        dispatch = builders.build_dispatch(order)
        key = core.AttemptKey(7, self.attempts)
        self.executor.dispatch(dispatch, self.now)
        return key if key in self.executor.running else None

    def end(self, key: core.AttemptKey, report: core.AttemptReport) -> None:
        """End the call of the target."""
        self.executor.end_task(key, report, self.now)

    def run(self, job: str, report: core.AttemptReport) -> None:
        """Start a task and end it at once."""
        self.end(self.start(job), report)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + datetime.timedelta(seconds=seconds)
        while self.now < until:
            self.now += datetime.timedelta(seconds=1)
            self.executor.tick(self.now, LAPSE_AFTER)


def test_failures_of_many_jobs_quarantine_the_target() -> None:
    bench = Bench()
    for number in range(core.JOBS_TO_QUARANTINE):
        bench.run(f"job-{number}", FAILED)
    assert (bench.executor.state, bench.executor.slots) == ("quarantined", 0)


def test_failures_of_one_job_are_not_held_against_the_target() -> None:
    bench = Bench()
    for _ in range(50):
        bench.run("job-1", FAILED)
    assert bench.executor.state == "serving"


@pytest.mark.parametrize(
    ("reason", "state"),
    [
        (core.Reason.OUTRANKED, "serving"),
        (core.Reason.BUSY, "quarantined"),
        (core.Reason.TARGET_STATUS, "quarantined"),
        (core.Reason.TARGET_REPLACED, "quarantined"),
    ],
)
def test_refusals_count_but_those_for_an_old_token(
    reason: core.Reason, state: str
) -> None:
    bench = Bench()
    refused = core.AttemptReport(0, core.Outcome.NOT_STARTED, reason)
    for number in range(core.JOBS_TO_QUARANTINE):
        bench.run(f"job-{number}", refused)
    assert bench.executor.state == state


def test_bad_jobs_between_good_ones_are_not_held_against_the_target() -> None:
    bench = Bench()
    for number in range(50):
        bench.run(f"bad-{number}", FAILED)
        bench.wait(1)
        bench.run("good", FINISHED)
    assert bench.executor.state == "serving"


def test_failures_far_apart_are_not_held_against_the_target() -> None:
    bench = Bench()
    for number in range(10):
        bench.run(f"bad-{number}", FAILED)
        bench.wait(61)
    assert bench.executor.state == "serving"


def test_slow_target_is_not_quarantined() -> None:
    bench = Bench(slots=2)
    for number in range(20):
        key = bench.start(f"job-{number}")
        bench.wait(30)
        bench.end(key, FINISHED)
    assert bench.executor.state == "serving"


def test_tasks_from_before_the_failures_prove_nothing() -> None:
    bench = Bench()
    old = [bench.start(f"old-{number}") for number in range(5)]
    bench.wait(1)
    for number, key in enumerate(old[: core.JOBS_TO_QUARANTINE]):
        bench.run(f"bad-{number}", FAILED)
        bench.end(key, FINISHED)
    assert bench.executor.state == "quarantined"


@pytest.mark.parametrize("slots", [1, 2, 8])
def test_jobs_hurt_by_a_failing_target_are_bounded(slots: int) -> None:
    bench = Bench(slots)
    hurt = set()
    for number in range(200):
        bench.start(f"job-{number}")
        running = len(bench.executor.running)
        if running and running == bench.executor.slots:
            key, held = next(iter(bench.executor.running.items()))
            hurt.add(held.order.task.partition(".")[0])
            bench.end(key, FAILED)
    for key, held in list(bench.executor.running.items()):
        hurt.add(held.order.task.partition(".")[0])
        bench.end(key, FAILED)
    assert len(hurt) == slots - 1 + core.JOBS_TO_QUARANTINE


def test_probation_allows_one_task_and_success_ends_it() -> None:
    bench = Bench()
    for number in range(core.JOBS_TO_QUARANTINE):
        bench.run(f"job-{number}", FAILED)
    bench.wait(3)
    slots = bench.executor.slots
    bench.run("job-9", FINISHED)
    assert (slots, bench.executor.slots) == (1, 8)


def test_each_failed_probation_doubles_the_quarantine() -> None:
    bench = Bench()
    for number in range(core.JOBS_TO_QUARANTINE):
        bench.run(f"job-{number}", FAILED)
    probations = 0
    for _ in range(600):
        bench.wait(1)
        if bench.executor.state == "probation":
            probations += 1
            bench.run(f"probe-{probations}", FAILED)
    assert probations == 13


def test_quarantine_outlives_a_lapse_of_the_announcements() -> None:
    bench = Bench()
    for number in range(core.JOBS_TO_QUARANTINE):
        bench.run(f"job-{number}", FAILED)
    lapse = datetime.timedelta(milliseconds=100)
    now = NOW + datetime.timedelta(milliseconds=200)
    bench.executor.tick(now, lapse)
    bench.executor.announce(builders.build_announcement(), now)
    assert bench.executor.state == "quarantined"


def test_unreachable_target_gets_no_work_until_announced() -> None:
    bench = Bench()
    bench.run("job-1", UNREACHABLE)
    states = [(bench.executor.state, bench.executor.slots)]
    bench.executor.announce(builders.build_announcement(), NOW)
    states.append((bench.executor.state, bench.executor.slots))
    assert states == [("unreachable", 0), ("probation", 1)]


def test_unreachable_target_that_announces_is_tried_ever_more_seldom() -> None:
    bench = Bench()
    refusals = 0
    for _ in range(600):
        bench.wait(1)
        bench.executor.announce(builders.build_announcement(), bench.now)
        while bench.executor.slots:
            refusals += 1
            bench.run(f"job-{refusals}", UNREACHABLE)
    assert refusals == 15


def test_queue_is_refused_when_the_target_is_unreachable() -> None:
    bench = Bench(slots=1)
    key = bench.start("job-1")
    bench.start("job-2")
    actions = bench.executor.end_task(key, UNREACHABLE, NOW)
    outcomes = [r.outcome for action in actions for r in action.reports]
    assert outcomes == [core.Outcome.NOT_STARTED] * 2


@pytest.mark.parametrize("ending", [UNREACHABLE, FAILED])
def test_endings_at_the_old_address_say_nothing_of_the_new(
    ending: core.AttemptReport,
) -> None:
    bench = Bench()
    keys = [bench.start(f"job-{n}") for n in range(8)]
    address = "http://127.0.0.1:2"
    announcement = builders.build_announcement(address=address)
    bench.executor.announce(announcement, NOW)
    for key in keys:
        bench.end(key, ending)
    assert bench.executor.state == "serving"


@pytest.mark.parametrize("report", [FAILED, UNREACHABLE])
def test_another_target_in_the_place_serves_at_once(
    report: core.AttemptReport,
) -> None:
    bench = Bench()
    for number in range(core.JOBS_TO_QUARANTINE):
        if bench.executor.slots:
            bench.run(f"job-{number}", report)
    address = "http://127.0.0.1:2"
    announcement = builders.build_announcement(address=address)
    bench.executor.announce(announcement, NOW)
    assert bench.executor.state == "serving"


def test_target_that_left_stays_away_while_it_announces() -> None:
    bench = Bench()
    bench.executor.leave(NOW)
    bench.executor.announce(builders.build_announcement(), NOW)
    assert bench.executor.slots == 0
