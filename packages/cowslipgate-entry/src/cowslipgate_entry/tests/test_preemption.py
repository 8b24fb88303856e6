"""Tests of how preempted runs are logged and counted.

A job of one task waits for a target that is full with less urgent runs.
"""

import datetime

import circuits
import pytest

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _job_log
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders
from cowslipgate_entry.tests import observer_builders
import cowslipgate_transport as transport

SLOTS = 8
"""Slots of the only agent; a task is declared to take 100 ms."""

OBJECTIVE = datetime.timedelta(milliseconds=80)
"""Objective that is met after a stop, but not once a run has ended."""


def _fire(root: circuits.BaseComponent, event: circuits.Event) -> None:
    root.fire(event, _events.GATEWAY)
    while len(root):
        root.flush()


def _build_report(
    harness: observer_builders.ObserverHarness,
) -> core.ReportPreemption:
    """Return the preemption of the first run of a job."""
    job = observer_builders.build_job(
        harness, observer_builders.build_submission()
    )
    harness.ledger.assign(harness.clock.now(), {"hall": 9})
    attempt = next(iter(job.active.values()))
    preemption = core.Preemption(
        attempt.sequence, attempt.agent, "job-2", 0.13512, "1 task waits"
    )
    return core.ReportPreemption(attempt, preemption, "r-2")


def test_preempted_run_is_logged_with_what_it_makes_room_for() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    lines = observer_builders.Lines().register(root)
    _job_log.JobLog(harness.dispatcher, harness.clock).register(root)
    _fire(root, _events.run_preempted(_build_report(harness)))
    assert lines.changes == [
        _changes.RunPreempted(
            "", "job-1", 0, "agent-1", "r-2", "job-2", 0.135, "1 task waits"
        )
    ]


def test_preemptions_are_counted_with_what_became_of_them() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    metrics = _metrics.Metrics(
        harness.dispatcher, observer_builders.Server(), harness.clock
    )
    metrics.register(root)
    _fire(root, _events.run_preempted(_build_report(harness)))
    counters = harness.ledger.counters
    for finished, lost in ((1, 0.5), (3, 0.75)):
        counters.preempted_finished = finished
        counters.preempted_core_seconds = lost
        # Each reading gives the totals, however often it is repeated.
        metrics.render()
        text = metrics.render().decode()
        assert f"cowslipgate_preemptions_finished_total {finished}\n" in text
        assert f"cowslipgate_preempted_core_seconds_total {lost}\n" in text
    assert "cowslipgate_preemptions_total 1\n" in text


def _configure(
    root: circuits.BaseComponent, version: int, **services: bool
) -> None:
    document = {
        "services": {
            name: {"preemption": allowed} for name, allowed in services.items()
        }
    }
    configuration = core.parse_configuration(version, document)
    _fire(root, _events.configuration_adopted(configuration))


def test_feature_is_logged_once_for_each_service_that_allows_it() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    lines = observer_builders.Lines().register(root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)
    _configure(root, 1, print=False)
    _configure(root, 2, print=True)
    _configure(root, 3, print=True, draw=True)
    enabled = [
        change
        for change in lines.changes
        if isinstance(change, transport.FeatureEnabled)
    ]
    assert [change.feature for change in enabled] == ["preemption"] * 2
    assert enabled[0].reason.endswith("services print")
    assert enabled[1].reason.endswith("services draw")


# Guards against a run that is withdrawn without a line in the log.
@pytest.mark.parametrize(("allowed", "reports"), [(True, 1), (False, 0)])
def test_dispatcher_withdraws_and_reports_preempted_runs(
    allowed: bool, reports: int
) -> None:
    harness = builders.DispatcherHarness()
    gateway = control_builders.Recorder("gateway").register(harness.root)
    document = builders.DOCUMENT | {
        "services": {"print": {"preemption": allowed}}
    }
    configuration = core.parse_configuration(2, document)
    harness.fire(_events.configuration_adopted(configuration))
    harness.deliver(builders.build_report())
    slow = core.JobTerms(rerun_lost=True, priority=1)
    harness.submit(tasks=SLOTS, terms=slow)
    urgent = core.JobTerms(objective=OBJECTIVE, slowdown=1.0)
    harness.submit(terms=urgent)
    stops = [each.attempts for each in harness.outbox.take(core.Withdraw)]
    assert stops == [(1,)] * reports
    assert len(gateway.take("run_preempted")) == reports
