"""Tests of dispatches that agents refuse for a stale configuration."""

import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders


def _adopt(harness: builders.DispatcherHarness, version: int) -> None:
    document = builders.DOCUMENT
    configuration = core.parse_configuration(version, document)
    harness.fire(_events.configuration_adopted(configuration))


def _refuse_first(harness: builders.DispatcherHarness) -> None:
    harness.deliver(builders.build_report())
    harness.submit()
    harness.deliver(control_builders.refuse_stale(1, 2))


def test_refused_task_is_held_until_the_newer_version_arrives() -> None:
    harness = builders.DispatcherHarness()
    _refuse_first(harness)
    harness.fire(_events.tick())
    harness.deliver(builders.build_report("agent-2"))
    assert len(harness.outbox.take(core.Dispatch)) == 1


def test_refused_task_is_sent_once_the_newer_version_arrives() -> None:
    harness = builders.DispatcherHarness()
    _refuse_first(harness)
    _adopt(harness, 2)
    first, second = harness.outbox.take(core.Dispatch)
    assert (first.configuration_version, second.configuration_version) == (
        1,
        2,
    )


def test_late_refusal_of_an_old_version_holds_nothing() -> None:
    harness = builders.DispatcherHarness()
    harness.deliver(builders.build_report())
    harness.submit()
    _adopt(harness, 2)
    harness.deliver(control_builders.refuse_stale(1, 2))
    assert len(harness.outbox.take(core.Dispatch)) == 2


def test_newer_version_is_requested_at_once() -> None:
    harness = builders.DispatcherHarness()
    recorder = control_builders.Recorder("configuration-manager").register(
        harness.root
    )
    _refuse_first(harness)
    assert recorder.take("newer_configuration_reported") == [(2, b"agent-1/1")]
