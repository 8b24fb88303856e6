"""Tests of quarantine and probation of a target."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NOW = builders.NOW
MEMBER_EXPIRES_AFTER = datetime.timedelta(hours=1)
FINISHED = core.AttemptReport(0, core.Outcome.FINISHED)
FAILED = core.AttemptReport(0, core.Outcome.FAILED, core.Reason.TARGET_STATUS)
UNREACHABLE = core.AttemptReport(
    0, core.Outcome.NOT_STARTED, core.Reason.TARGET_UNREACHABLE
)


class HealthHarness:
    """Dispatches jobs one by one to an executor with a manual clock."""

    def __init__(self, slots: int = 8) -> None:
        self.executor = builders.build_executor(slots=slots, queue_limit=2)
        self.now = NOW
        self.attempts = 0

    def start(self, job: str) -> core.AttemptKey | None:
        """Dispatch a task; return its key, or None if it was not started."""
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
        """Advance the clock, with a tick every second."""
        until = self.now + datetime.timedelta(seconds=seconds)
        while self.now < until:
            self.now += datetime.timedelta(seconds=1)
            self.executor.tick(self.now, MEMBER_EXPIRES_AFTER)


def test_failures_of_many_jobs_quarantine_the_target() -> None:
    harness = HealthHarness()
    for number in range(core.JOBS_TO_QUARANTINE):
        harness.run(f"job-{number}", FAILED)
    assert (harness.executor.state, harness.executor.slots) == (
        "quarantined",
        0,
    )


def test_failures_of_one_job_do_not_quarantine_the_target() -> None:
    harness = HealthHarness()
    for _ in range(50):
        harness.run("job-1", FAILED)
    assert harness.executor.state == "serving"


@pytest.mark.parametrize(
    ("reason", "state"),
    [
        (core.Reason.STALE_TOKEN, "serving"),
        (core.Reason.BUSY, "quarantined"),
        (core.Reason.TARGET_STATUS, "quarantined"),
        (core.Reason.TARGET_REPLACED, "quarantined"),
    ],
)
def test_refusals_count_except_for_a_stale_token(
    reason: core.Reason, state: str
) -> None:
    harness = HealthHarness()
    refused = core.AttemptReport(0, core.Outcome.NOT_STARTED, reason)
    for number in range(core.JOBS_TO_QUARANTINE):
        harness.run(f"job-{number}", refused)
    assert harness.executor.state == state


def test_bad_jobs_between_good_ones_do_not_quarantine_the_target() -> None:
    harness = HealthHarness()
    for number in range(50):
        harness.run(f"bad-{number}", FAILED)
        harness.wait(1)
        harness.run("good", FINISHED)
    assert harness.executor.state == "serving"


def test_failures_far_apart_do_not_quarantine_the_target() -> None:
    harness = HealthHarness()
    for number in range(10):
        harness.run(f"bad-{number}", FAILED)
        harness.wait(61)
    assert harness.executor.state == "serving"


def test_slow_target_is_not_quarantined() -> None:
    harness = HealthHarness(slots=2)
    for number in range(20):
        key = harness.start(f"job-{number}")
        harness.wait(30)
        harness.end(key, FINISHED)
    assert harness.executor.state == "serving"


def test_successes_started_before_the_failures_do_not_count() -> None:
    harness = HealthHarness()
    old = [harness.start(f"old-{number}") for number in range(5)]
    harness.wait(1)
    for number, key in enumerate(old[: core.JOBS_TO_QUARANTINE]):
        harness.run(f"bad-{number}", FAILED)
        harness.end(key, FINISHED)
    assert harness.executor.state == "quarantined"


@pytest.mark.parametrize("slots", [1, 2, 8])
def test_jobs_that_fail_at_a_broken_target_are_bounded(slots: int) -> None:
    harness = HealthHarness(slots)
    failed_jobs = set()
    for number in range(200):
        harness.start(f"job-{number}")
        running = len(harness.executor.running)
        if running and running == harness.executor.slots:
            key, held = next(iter(harness.executor.running.items()))
            failed_jobs.add(held.order.task.partition(".")[0])
            harness.end(key, FAILED)
    for key, held in list(harness.executor.running.items()):
        failed_jobs.add(held.order.task.partition(".")[0])
        harness.end(key, FAILED)
    assert len(failed_jobs) == slots - 1 + core.JOBS_TO_QUARANTINE


def test_probation_allows_one_task_and_success_ends_it() -> None:
    harness = HealthHarness()
    for number in range(core.JOBS_TO_QUARANTINE):
        harness.run(f"job-{number}", FAILED)
    harness.wait(3)
    slots = harness.executor.slots
    harness.run("job-9", FINISHED)
    assert (slots, harness.executor.slots) == (1, 8)


def test_each_failed_probation_doubles_the_quarantine() -> None:
    harness = HealthHarness()
    for number in range(core.JOBS_TO_QUARANTINE):
        harness.run(f"job-{number}", FAILED)
    probations = 0
    for _ in range(600):
        harness.wait(1)
        if harness.executor.state == "probation":
            probations += 1
            harness.run(f"probe-{probations}", FAILED)
    assert probations == 13


def test_quarantine_continues_after_the_announcement_expires() -> None:
    harness = HealthHarness()
    for number in range(core.JOBS_TO_QUARANTINE):
        harness.run(f"job-{number}", FAILED)
    lapse_after = datetime.timedelta(milliseconds=100)
    now = NOW + datetime.timedelta(milliseconds=200)
    harness.executor.tick(now, lapse_after)
    harness.executor.announce(builders.build_announcement(), now)
    assert harness.executor.state == "quarantined"


def test_unreachable_target_gets_no_work_until_announced() -> None:
    harness = HealthHarness()
    harness.run("job-1", UNREACHABLE)
    states = [(harness.executor.state, harness.executor.slots)]
    harness.executor.announce(builders.build_announcement(), NOW)
    states.append((harness.executor.state, harness.executor.slots))
    assert states == [("unreachable", 0), ("probation", 1)]


def test_unreachable_target_that_announces_is_tried_with_backoff() -> None:
    harness = HealthHarness()
    refusals = 0
    for _ in range(600):
        harness.wait(1)
        harness.executor.announce(builders.build_announcement(), harness.now)
        while harness.executor.slots:
            refusals += 1
            harness.run(f"job-{refusals}", UNREACHABLE)
    assert refusals == 15


def test_queue_is_refused_when_the_target_is_unreachable() -> None:
    harness = HealthHarness(slots=1)
    key = harness.start("job-1")
    harness.start("job-2")
    actions = harness.executor.end_task(key, UNREACHABLE, NOW)
    outcomes = [r.outcome for action in actions for r in action.reports]
    assert outcomes == [core.Outcome.NOT_STARTED] * 2


@pytest.mark.parametrize("ending", [UNREACHABLE, FAILED])
def test_ends_at_the_old_address_do_not_count_for_the_new(
    ending: core.AttemptReport,
) -> None:
    harness = HealthHarness()
    keys = [harness.start(f"job-{n}") for n in range(8)]
    address = "http://127.0.0.1:2"
    announcement = builders.build_announcement(address=address)
    harness.executor.announce(announcement, NOW)
    for key in keys:
        harness.end(key, ending)
    assert harness.executor.state == "serving"


@pytest.mark.parametrize("report", [FAILED, UNREACHABLE])
def test_replacement_target_serves_at_once(
    report: core.AttemptReport,
) -> None:
    harness = HealthHarness()
    for number in range(core.JOBS_TO_QUARANTINE):
        if harness.executor.slots:
            harness.run(f"job-{number}", report)
    address = "http://127.0.0.1:2"
    announcement = builders.build_announcement(address=address)
    harness.executor.announce(announcement, NOW)
    assert harness.executor.state == "serving"


def test_leaving_target_gets_no_work_while_it_announces() -> None:
    harness = HealthHarness()
    harness.executor.leave(NOW)
    harness.executor.announce(builders.build_announcement(), NOW)
    assert harness.executor.slots == 0
