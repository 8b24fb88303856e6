"""Tests of dispatches that agents refuse for a stale configuration."""

import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders


def _adopt(bench: builders.DispatcherBench, version: int) -> None:
    document = builders.DOCUMENT
    configuration = core.parse_configuration(version, document)
    bench.tell(_events.configuration_adopted(configuration))


def _refuse_first(bench: builders.DispatcherBench) -> None:
    bench.hear(builders.build_report())
    bench.submit()
    bench.hear(control_builders.refuse_stale(1, 2))


def test_refused_task_is_held_until_the_newer_version_arrives() -> None:
    bench = builders.DispatcherBench()
    _refuse_first(bench)
    bench.tell(_events.tick())
    bench.hear(builders.build_report("agent-2"))
    assert len(bench.outbox.take(core.Dispatch)) == 1


def test_refused_task_is_sent_once_the_newer_version_arrives() -> None:
    bench = builders.DispatcherBench()
    _refuse_first(bench)
    _adopt(bench, 2)
    first, second = bench.outbox.take(core.Dispatch)
    assert (first.configuration_version, second.configuration_version) == (
        1,
        2,
    )


def test_late_refusal_of_an_old_version_holds_nothing() -> None:
    bench = builders.DispatcherBench()
    bench.hear(builders.build_report())
    bench.submit()
    _adopt(bench, 2)
    bench.hear(control_builders.refuse_stale(1, 2))
    assert len(bench.outbox.take(core.Dispatch)) == 2


def test_newer_version_is_requested_at_once() -> None:
    bench = builders.DispatcherBench()
    recorder = control_builders.Recorder("configuration-manager").register(
        bench.root
    )
    _refuse_first(bench)
    assert recorder.take("newer_configuration_reported") == [(2, b"agent-1/1")]
