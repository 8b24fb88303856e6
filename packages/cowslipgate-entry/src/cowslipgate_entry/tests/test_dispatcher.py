"""Tests of acknowledgements to agents and of late refusals."""

import datetime

import attrs
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


# Guards against agents that count an entry as alive which hears nothing: its
# messages name the agent's newest message that it has received.
def test_heartbeats_and_orders_confirm_the_newest_message_received() -> None:
    harness = builders.DispatcherHarness()
    report = attrs.evolve(builders.build_report(), sent_ms=400)
    harness.deliver(report)
    harness.deliver(attrs.evolve(builders.build_results(9), sent_ms=700))
    harness.submit()
    (dispatch,) = harness.outbox.take(core.Dispatch)
    harness.deliver(attrs.evolve(report, sent_ms=500))
    configuration = core.parse_configuration(2, builders.DOCUMENT)
    harness.fire(_events.configuration_adopted(configuration))
    beats = harness.outbox.take(core.Beat)
    assert dispatch.received_ms == 700
    assert [beat.received_ms for beat in beats] == [400, 700, 700]


def test_new_incarnation_of_an_agent_begins_with_its_own_messages() -> None:
    harness = builders.DispatcherHarness()
    report = attrs.evolve(builders.build_report(), sent_ms=9_000)
    harness.deliver(report)
    harness.deliver(attrs.evolve(report, incarnation=2, sent_ms=1))
    beats = harness.outbox.take(core.Beat)
    assert [beat.received_ms for beat in beats] == [9_000, 1]


def test_heartbeat_instead_of_a_release_confirms_the_goodbye() -> None:
    harness = builders.DispatcherHarness()
    _start_job(harness)
    harness.deliver(core.Goodbye("agent-1", 1, 3, 800))
    assert harness.outbox.take(core.Beat)[-1].received_ms == 800


# Guards against a job that waits for its claim when its entry ends.
def test_job_that_waits_for_its_claim_is_answered_before_the_end() -> None:
    harness = builders.DispatcherHarness()
    gateway = control_builders.Recorder("gateway").register(harness.root)
    submission = control_builders.build_submission("key")
    harness.fire(_events.submit_job(submission))
    harness.fire(_events.stop_at(harness.clock.now() + 5 * SECOND))
    harness.clock.advance(5 * SECOND)
    harness.fire(_events.tick())
    ((_, answer),) = gateway.take("job_answered")
    expected = (core.Failure.STOPPING, core.Started.NONE)
    assert (answer.failure, answer.started) == expected
