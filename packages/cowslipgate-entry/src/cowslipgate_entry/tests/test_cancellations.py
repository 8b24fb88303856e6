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


def _build_bench() -> control_builders.ComponentHarness:
    bench = control_builders.ComponentHarness("peers", "dispatcher", "gateway")
    component = _cancellations.Cancellations(builders.MEMBER, bench.clock)
    component.register(bench.root)
    members = [
        control_builders.build_member(n, 2000 + 2 * n)
        for n in range(10, 10 + PEERS)
    ]
    event = _events.members_changed((builders.MEMBER, *members))
    bench.tell(event, "cancellations")
    return bench


def _cancel(
    bench: control_builders.ComponentHarness,
) -> _requests.Cancellation:
    cancellation = _requests.Cancellation(
        1, "hall", service="print", label=LABEL
    )
    event = _events.broadcast_cancellation(cancellation)
    bench.tell(event, "cancellations")
    return cancellation


def test_each_peer_gets_one_message() -> None:
    bench = _build_bench()
    _cancel(bench)
    sent = bench.recorders["peers"].take("send_to_peer")
    assert [entry for entry, _ in sent] == [10, 11, 12]


def test_messages_to_peers_leave_before_slots_are_freed() -> None:
    bench = _build_bench()
    sockets = _SendRecorder().register(bench.root)
    _cancel(bench)
    assert sockets.order == ["sent"] * PEERS + ["cancelled"]


def test_answer_waits_for_every_peer() -> None:
    bench = _build_bench()
    cancellation = _cancel(bench)
    bench.tell(_events.jobs_cancelled(cancellation, 5), "cancellations")
    for entry in (10, 11):
        reply = core.CancelReply(1, entry, 7)
        bench.tell(_events.peer_message_received(reply), "cancellations")
    assert bench.recorders["gateway"].take("cancellation_answered") == []
    reply = core.CancelReply(1, 12, 7)
    bench.tell(_events.peer_message_received(reply), "cancellations")
    ((_, count, unresponsive),) = bench.recorders["gateway"].take(
        "cancellation_answered"
    )
    assert (count, unresponsive) == (26, ())


def test_entries_that_do_not_reply_are_named() -> None:
    bench = _build_bench()
    cancellation = _cancel(bench)
    bench.tell(_events.jobs_cancelled(cancellation, 5), "cancellations")
    bench.clock.advance(datetime.timedelta(seconds=3))
    bench.tell(_events.tick(), "cancellations")
    ((_, count, unresponsive),) = bench.recorders["gateway"].take(
        "cancellation_answered"
    )
    assert (count, unresponsive) == (5, (10, 11, 12))


def test_requests_of_other_entries_are_not_kept() -> None:
    bench = _build_bench()
    for number in range(JOBS):
        request = core.CancelRequest(number, 10, "hall", label=LABEL)
        bench.tell(_events.peer_message_received(request), "cancellations")
    for (cancellation,) in bench.recorders["dispatcher"].take("cancel_jobs"):
        event = _events.jobs_cancelled(cancellation, 0)
        bench.tell(event, "cancellations")
    (component,) = bench.root.components - set(bench.recorders.values())
    assert component.waiting == 0


def _cancel_labelled_jobs() -> tuple[builders.DispatcherBench, object]:
    bench = builders.DispatcherBench()
    recorder = control_builders.Recorder("cancellations")
    recorder.register(bench.root)
    for number in range(AGENTS):
        bench.hear(builders.build_report(f"agent-{number}"))
    for _ in range(JOBS):
        request = core.JobRequest((core.TaskRequest(),), label=LABEL)
        submission = _requests.Submission(
            None, "hall", "print", request, "", ""
        )
        bench.tell(_events.submit_job(submission))
    cancellation = _requests.Cancellation(
        1, "hall", service="print", label=LABEL
    )
    bench.tell(_events.cancel_jobs(cancellation))
    return bench, recorder


def test_cancellation_sends_one_withdrawal_to_each_agent() -> None:
    bench, _ = _cancel_labelled_jobs()
    withdrawn = bench.outbox.take(core.Withdraw)
    assert len(withdrawn) == AGENTS
    assert sum(len(message.attempts) for message in withdrawn) == AGENTS * 8


def test_cancellation_is_answered_once_its_attempts_have_ended() -> None:
    bench, recorder = _cancel_labelled_jobs()
    assert recorder.take("jobs_cancelled") == []
    for message in bench.outbox.take(core.Dispatch):
        reports = tuple(
            core.AttemptReport(order.attempt, core.Outcome.NOT_STARTED)
            for order in message.orders
        )
        agent = _find_agent(bench, message.orders[0].attempt)
        load = core.Load(8, 0, 0)
        bench.hear(core.Results(agent, 1, load, reports))
    ((_, count),) = recorder.take("jobs_cancelled")
    assert count == JOBS


def _find_agent(bench: builders.DispatcherBench, attempt: int) -> str:
    agents = bench.dispatcher.ledger.agents
    return next(
        name
        for name, record in agents.items()
        if attempt in record.outstanding
    )
