"""Tests of cancellations across entries, and of many jobs at once."""

import datetime

import circuits
import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _cancellations
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

JOBS = 1000
PEERS = 3
AGENTS = 4
LABEL = "hall-7"


class _SendRecorder(circuits.BaseComponent):
    """Recorder of the order of sends to entries and local cancellation."""

    channel = "peers"

    def __init__(self) -> None:
        super().__init__()
        self.order: list[str] = []

    @circuits.handler("send_to_peer")
    def _on_send_to_peer(self, entry: int, message: object) -> None:
        # The component that owns the links sends with one further event.
        self.fire(circuits.Event.create("send_message"), "sockets")

    @circuits.handler("send_message", channel="sockets")
    def _on_send_message(self) -> None:
        self.order.append("sent")

    @circuits.handler("cancel_jobs", channel="dispatcher")
    def _on_cancel_jobs(self, cancellation: _requests.Cancellation) -> None:
        self.order.append("cancelled")


def _build_harness() -> control_builders.ComponentHarness:
    harness = control_builders.ComponentHarness(
        "peers", "dispatcher", "gateway"
    )
    component = _cancellations.Cancellations(builders.MEMBER, harness.clock)
    component.register(harness.root)
    members = [
        control_builders.build_member(n, 2000 + 2 * n)
        for n in range(10, 10 + PEERS)
    ]
    event = _events.members_changed((builders.MEMBER, *members))
    harness.fire(event, "cancellations")
    return harness


def _cancel(
    harness: control_builders.ComponentHarness,
) -> _requests.Cancellation:
    cancellation = _requests.Cancellation(
        1, "hall", service="print", label=LABEL
    )
    event = _events.broadcast_cancellation(cancellation)
    harness.fire(event, "cancellations")
    return cancellation


def test_each_peer_gets_one_message() -> None:
    harness = _build_harness()
    _cancel(harness)
    sent = harness.recorders["peers"].take("send_to_peer")
    assert [entry for entry, _ in sent] == [10, 11, 12]


def test_messages_to_peers_leave_before_slots_are_freed() -> None:
    harness = _build_harness()
    sockets = _SendRecorder().register(harness.root)
    _cancel(harness)
    assert sockets.order == ["sent"] * PEERS + ["cancelled"]


def test_answer_waits_for_every_peer() -> None:
    harness = _build_harness()
    cancellation = _cancel(harness)
    harness.fire(_events.jobs_cancelled(cancellation, 5), "cancellations")
    for entry in (10, 11):
        reply = core.CancelReply(1, entry, 7)
        harness.fire(_events.peer_message_received(reply), "cancellations")
    assert harness.recorders["gateway"].take("cancellation_answered") == []
    reply = core.CancelReply(1, 12, 7)
    harness.fire(_events.peer_message_received(reply), "cancellations")
    ((_, count, unresponsive),) = harness.recorders["gateway"].take(
        "cancellation_answered"
    )
    assert (count, unresponsive) == (26, ())


def test_entries_that_do_not_reply_are_named() -> None:
    harness = _build_harness()
    cancellation = _cancel(harness)
    harness.fire(_events.jobs_cancelled(cancellation, 5), "cancellations")
    harness.clock.advance(datetime.timedelta(seconds=3))
    harness.fire(_events.tick(), "cancellations")
    ((_, count, unresponsive),) = harness.recorders["gateway"].take(
        "cancellation_answered"
    )
    assert (count, unresponsive) == (5, (10, 11, 12))


def test_requests_of_other_entries_are_not_kept() -> None:
    harness = _build_harness()
    for number in range(JOBS):
        request = core.CancelRequest(number, 10, "hall", label=LABEL)
        harness.fire(_events.peer_message_received(request), "cancellations")
    for (cancellation,) in harness.recorders["dispatcher"].take("cancel_jobs"):
        event = _events.jobs_cancelled(cancellation, 0)
        harness.fire(event, "cancellations")
    (component,) = harness.root.components - set(harness.recorders.values())
    assert component.waiting == 0


def _cancel_labelled_jobs() -> tuple[builders.DispatcherHarness, object]:
    harness = builders.DispatcherHarness()
    recorder = control_builders.Recorder("cancellations")
    recorder.register(harness.root)
    for number in range(AGENTS):
        harness.deliver(builders.build_report(f"agent-{number}"))
    for _ in range(JOBS):
        request = core.JobRequest((core.TaskRequest(),), label=LABEL)
        submission = _requests.Submission(
            None, "hall", "print", request, "", ""
        )
        harness.fire(_events.submit_job(submission))
    cancellation = _requests.Cancellation(
        1, "hall", service="print", label=LABEL
    )
    harness.fire(_events.cancel_jobs(cancellation))
    return harness, recorder


def test_cancellation_sends_one_withdrawal_to_each_agent() -> None:
    harness, _ = _cancel_labelled_jobs()
    withdrawn = harness.outbox.take(core.Withdraw)
    assert len(withdrawn) == AGENTS
    assert sum(len(message.attempts) for message in withdrawn) == AGENTS * 8


def test_cancellation_is_answered_once_its_attempts_have_ended() -> None:
    harness, recorder = _cancel_labelled_jobs()
    assert recorder.take("jobs_cancelled") == []
    for message in harness.outbox.take(core.Dispatch):
        reports = tuple(
            core.AttemptReport(order.attempt, core.Outcome.NOT_STARTED)
            for order in message.orders
        )
        agent = _find_agent(harness, message.orders[0].attempt)
        load = core.Load(8, 0, 0)
        harness.deliver(core.Results(agent, 1, load, reports))
    ((_, count),) = recorder.take("jobs_cancelled")
    assert count == JOBS


def _find_agent(harness: builders.DispatcherHarness, attempt: int) -> str:
    agents = harness.dispatcher.ledger.agents
    return next(
        name
        for name, record in agents.items()
        if attempt in record.outstanding
    )
