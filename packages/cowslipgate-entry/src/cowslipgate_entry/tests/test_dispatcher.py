"""Tests of acknowledgements to agents and of late refusals."""

import datetime

import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

SECOND = datetime.timedelta(seconds=1)


def _start_job(bench: builders.DispatcherBench) -> None:
    bench.hear(builders.build_report())
    bench.submit()
    assert len(bench.outbox.take(core.Dispatch)) == 1


def test_next_dispatch_carries_the_acknowledgement() -> None:
    bench = builders.DispatcherBench()
    _start_job(bench)
    bench.hear(builders.build_results(1))
    bench.submit()
    assert bench.outbox.take(core.Acknowledge) == []
    assert bench.outbox.take(core.Dispatch)[1].acknowledged == (1,)


def test_overdue_acknowledgement_is_sent_alone() -> None:
    bench = builders.DispatcherBench()
    bench.tell(_events.tick())
    _start_job(bench)
    bench.hear(builders.build_results(1))
    bench.clock.advance(2 * SECOND)
    bench.tell(_events.tick())
    (message,) = bench.outbox.take(core.Acknowledge)
    assert message.attempts == (1,)


def test_waiting_job_is_refused_once_known_to_be_infeasible() -> None:
    bench = builders.DispatcherBench()
    gateway = control_builders.Recorder("gateway").register(bench.root)
    bench.hear(builders.build_report())
    bench.submit(needs=core.Resources(memory_mb=999_999))
    bench.tell(_events.tick())
    assert gateway.take("job_answered") == []
    bench.clock.advance(core.OFFERS_CONCLUSIVE_AFTER)
    bench.tell(_events.tick())
    ((_, answer),) = gateway.take("job_answered")
    assert (answer.failure, answer.started, answer.path) == (
        core.Failure.INFEASIBLE,
        core.Started.NONE,
        "$.tasks[0].needs",
    )
