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


# Guards against a task at a target that has come to belong to another service
# since the entry chose it: the agent can tell.
def test_orders_name_the_service_for_which_their_target_was_chosen() -> None:
    harness = builders.DispatcherHarness()
    report = builders.build_report()
    harness.deliver(report)
    harness.submit()
    (dispatch,) = harness.outbox.take(core.Dispatch)
    assert report.service
    assert dispatch.service == report.service


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


# Guards against ages that an agent counts from too late: what dates a message
# and the ages in it are read at one time.
def test_messages_tell_how_old_their_entrys_signs_are() -> None:
    harness = builders.DispatcherHarness()
    harness.deliver(attrs.evolve(builders.build_report(), sent_ms=400))
    harness.clock.advance(SECOND / 2)
    seen_at = harness.clock.now() - SECOND / 5
    harness.submit(caller_seen_at=seen_at)
    (dispatch,) = harness.outbox.take(core.Dispatch)
    assert (dispatch.received_ms, dispatch.held_ms) == (400, 500)
    assert dispatch.ages == ((dispatch.orders[0].attempt, 200),)
    harness.clock.advance(SECOND / 4)
    harness.deliver(attrs.evolve(builders.build_report(), sent_ms=900))
    beat = harness.outbox.take(core.Beat)[-1]
    assert (beat.received_ms, beat.held_ms) == (900, 0)
    assert beat.ages == ((dispatch.orders[0].attempt, 450),)


# Guards against runs of a far caller that are stopped, since agents hear late
# that it was seen.
def test_late_sign_of_a_caller_is_told_to_its_agents_at_once() -> None:
    harness = builders.DispatcherHarness()
    harness.deliver(builders.build_report())
    harness.submit(caller_seen_at=harness.clock.now())
    (job,) = harness.dispatcher.ledger.jobs
    for age, messages in ((0.4, 0), (0.9, 1)):
        harness.outbox.messages.clear()
        harness.clock.advance(age * SECOND)
        seen_at = harness.clock.now() - SECOND / 10
        harness.fire(_events.confirm_callers({job: seen_at}))
        beats = harness.outbox.take(core.Beat)
        assert [beat.ages for beat in beats] == [((1, 100),)] * messages


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
