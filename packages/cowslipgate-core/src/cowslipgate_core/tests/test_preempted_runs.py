"""Tests of what may happen between the stop of a run and its end.

The load: jobs of 4 tasks of 1.8 s fill the targets, and a job of 8 tasks of
0.12 s comes 50 ms later. Agents' messages are given by hand.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import preemption_builders
import pytest

TICK = datetime.timedelta(milliseconds=100)
SILENCE = datetime.timedelta(seconds=60)


def _preempt() -> tuple[preemption_builders.Fleet, list[core.Attempt]]:
    """Return a fleet and the attempts that it has just told to stop."""
    fleet = preemption_builders.Fleet(8)
    for _ in range(10):
        fleet.submit(2)
    fleet.run_until(0.05)
    fleet.submit(0)
    attempts = [report.attempt for report, _ in fleet.preemptions]
    assert len(attempts) == 8
    return fleet, attempts


def _list_stops(actions: list[core.LedgerAction]) -> set[int]:
    return {
        attempt
        for action in actions
        if isinstance(action, core.SendWithdraw) and action.stop
        for attempt in action.attempts
    }


def _list_started(fleet: preemption_builders.Fleet) -> set[str]:
    return {each.job.id for each in fleet.ledger.attempts.values()}


def test_stopped_task_waits_again_and_counts_as_no_failure() -> None:
    fleet, (attempt, *_) = _preempt()
    job = attempt.job
    fleet.end(attempt.sequence, attempt.agent, core.Outcome.STOPPED)
    assert attempt.index in job.waiting
    assert (job.failure, job.failed_runs.total()) == (None, 0)
    counters = fleet.ledger.counters
    assert counters.preempted_finished == 0
    assert counters.preempted_core_seconds == pytest.approx(0.05 * 2.7)
    fleet.assign()
    # The ordinary assignment gives the room to the urgent job.
    new = max(fleet.ledger.attempts.values(), key=lambda each: each.sequence)
    assert (new.agent, new.job.terms.priority) == (attempt.agent, 0)


# Guards against a second run of a task beside the first.
def test_task_does_not_start_again_before_the_end_of_its_run_is_known() -> (
    None
):
    fleet, attempts = _preempt()
    running = core.AttemptReport(attempts[0].sequence, core.Outcome.RUNNING)
    load = core.Load(core.UNBOUNDED_SLOTS, 0, 0)
    results = core.Results(attempts[0].agent, 1, load, (running,))
    fleet.ledger.handle_results(results, fleet.now)
    fleet.assign()
    job = attempts[0].job
    assert attempts[0].index not in job.waiting
    assert len(job.active) == 4


# Guards against a run that goes on although its room was counted as to come.
def test_lost_stop_is_repeated() -> None:
    fleet, attempts = _preempt()
    fleet.now += TICK
    fleet.report()
    assert _list_stops(fleet.ledger.tick(fleet.now)) == set()
    for _ in range(4):
        fleet.now += TICK
        fleet.report()
        stops = _list_stops(fleet.ledger.tick(fleet.now))
        if stops:
            break
    assert stops == {attempt.sequence for attempt in attempts}
    # It is the same preemption, and no other run is stopped.
    assert fleet.ledger.counters.preempted == len(attempts)


def test_result_of_a_run_that_finishes_first_counts() -> None:
    fleet, (attempt, *_) = _preempt()
    fleet.end(attempt.sequence, attempt.agent, core.Outcome.FINISHED)
    assert attempt.index in attempt.job.results
    counters = fleet.ledger.counters
    assert counters.preempted_finished == 1
    assert counters.preempted_core_seconds == 0
    # A task of the job has finished, so that it may be preempted again.
    assert attempt.job.preemptions == 0


def test_preempted_job_that_is_cancelled_does_not_run_again() -> None:
    fleet, (attempt, *_) = _preempt()
    job = attempt.job
    actions = fleet.ledger.cancel(job, fleet.now)
    assert attempt.sequence in _list_stops(actions)
    for each in list(job.active.values()):
        fleet.end(each.sequence, each.agent, core.Outcome.STOPPED)
    assert fleet.answers == {job.id: fleet.now}
    fleet.assign()
    assert job.id not in _list_started(fleet)


# Guards against room that stays reserved for a job that has gone.
def test_room_goes_to_other_jobs_if_the_urgent_job_is_cancelled() -> None:
    fleet, (attempt, *_) = _preempt()
    urgent = next(
        job for job in fleet.ledger.jobs.values() if not job.terms.priority
    )
    fleet.ledger.cancel(urgent, fleet.now)
    fleet.end(attempt.sequence, attempt.agent, core.Outcome.STOPPED)
    fleet.assign()
    assert attempt.index not in attempt.job.waiting
    assert attempt.job.failure is None


# Guards against a task that is lost with the agent that was to stop it.
def test_task_runs_again_if_its_agent_is_lost_meanwhile() -> None:
    fleet, (attempt, *_) = _preempt()
    lost = [
        each.sequence
        for each in fleet.ledger.attempts.values()
        if each.agent == attempt.agent
    ]
    report = fleet.ledger.agents[attempt.agent].report
    reborn = core.Report(
        report.agent,
        2,
        report.service,
        report.domain,
        report.state,
        report.resources,
        report.load,
        1,
        "",
        room=report.room,
    )
    fleet.ledger.handle_report(reborn, fleet.now)
    assert attempt.index in attempt.job.waiting
    assert attempt.job.failure is None
    assert not fleet.ledger.attempts.keys() & set(lost)
    fleet.run_until(SILENCE.total_seconds())
    assert fleet.ledger.jobs == {}
