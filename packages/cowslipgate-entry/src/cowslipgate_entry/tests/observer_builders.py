"""Builders of jobs and messages for tests of metrics, traces and logs."""

import datetime

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport

MEMBER = core.Member(7, "tcp://127.0.0.1:1", "127.0.0.1:2", "kaai-zuid")
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@attrs.define(eq=False)
class ObserverHarness:
    """A dispatcher, not started, whose ledger has one serving agent."""

    clock: core.ManualClock
    """Manual clock of the ledger and the dispatcher."""

    ledger: core.Ledger
    """Ledger of the dispatcher."""

    dispatcher: _dispatcher.Dispatcher
    """Dispatcher, not started."""


class Server:
    """Stub of an HTTP server without connections."""

    connections = 0


class Lines(circuits.BaseComponent):
    """Keeps the changes that would be logged."""

    channel = "logs"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[_changes.Change] = []

    @circuits.handler("changed")
    def _on_changed(self, change: _changes.Change) -> None:
        self.changes.append(change)


def build_harness() -> ObserverHarness:
    """Return a harness with one agent of two slots."""
    clock = core.ManualClock()
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(build_report(), clock.now())
    dispatcher = _dispatcher.Dispatcher(ledger, MEMBER, clock)
    return ObserverHarness(clock, ledger, dispatcher)


def build_report(state: str = "serving", incarnation: int = 1) -> core.Report:
    """Return a report of an agent with two slots."""
    return core.Report(
        "agent-1",
        incarnation,
        "print",
        "kaai-zuid",
        state,
        core.Resources(),
        core.Load(2, 0, 0),
        1,
        "",
    )


def build_submission(
    traceparent: str = "", tasks: int = 2
) -> _requests.Submission:
    """Return a submission whose HTTP request is unanswered."""
    headers = {"traceparent": traceparent} if traceparent else {}
    exchange = transport.Exchange("POST", "/", {}, headers, b"", None)
    request = core.JobRequest(tuple(core.TaskRequest() for _ in range(tasks)))
    return _requests.Submission(
        exchange, "hall", "print", request, "", traceparent
    )


def build_job(
    harness: ObserverHarness, submission: _requests.Submission
) -> core.Job:
    """Submit the job of a submission to the ledger and return it."""
    now = harness.clock.now()
    job = core.Job(
        "job-1",
        submission.team,
        submission.service,
        submission.request,
        now,
        now + datetime.timedelta(seconds=30),
        harness.ledger.make_machine(),
        traceparent=submission.traceparent,
    )
    harness.ledger.submit(job)
    return job


def build_results(action: core.SendOrders, run_ms: float) -> core.Results:
    """Return results that report every attempt of a dispatch as finished."""
    reports = tuple(
        core.AttemptReport(
            order.attempt,
            core.Outcome.FINISHED,
            result=b"1",
            wait_ms=10.0,
            run_ms=run_ms,
        )
        for order in action.orders
    )
    return core.Results(
        action.agent, action.incarnation, core.Load(2, 0, 0), reports
    )
