"""Tests of acknowledgements to agents and of late refusals."""

import datetime

import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

SECOND = datetime.timedelta(seconds=1)


def _start_job(harness: builders.DispatcherHarness) -> None:
    harness.deliver(builders.build_report())
    harness.submit()
    assert len(harness.outbox.take(core.Dispatch)) == 1


def test_next_dispatch_carries_the_acknowledgement() -> None:
    harness = builders.DispatcherHarness()
    _start_job(harness)
    harness.deliver(builders.build_results(1))
    harness.submit()
    assert harness.outbox.take(core.Acknowledge) == []
    assert harness.outbox.take(core.Dispatch)[1].acknowledged == (1,)


def test_overdue_acknowledgement_is_sent_alone() -> None:
    harness = builders.DispatcherHarness()
    harness.fire(_events.tick())
    _start_job(harness)
    harness.deliver(builders.build_results(1))
    harness.clock.advance(2 * SECOND)
    harness.fire(_events.tick())
    (message,) = harness.outbox.take(core.Acknowledge)
    assert message.attempts == (1,)


def test_waiting_job_is_refused_once_known_to_be_infeasible() -> None:
    harness = builders.DispatcherHarness()
    gateway = control_builders.Recorder("gateway").register(harness.root)
    harness.deliver(builders.build_report())
    harness.submit(needs=core.Resources(memory_mb=999_999))
    harness.fire(_events.tick())
    assert gateway.take("job_answered") == []
    harness.clock.advance(core.OFFERS_CONCLUSIVE_AFTER)
    harness.fire(_events.tick())
    ((_, answer),) = gateway.take("job_answered")
    assert (answer.failure, answer.started, answer.path) == (
        core.Failure.INFEASIBLE,
        core.Started.NONE,
        "$.tasks[0].needs",
    )
