"""Builders of jobs and messages for the components that observe."""

import datetime

import attrs

import cowslipgate_core as core
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
import cowslipgate_transport as transport

MEMBER = core.Member(7, "tcp://127.0.0.1:1", "127.0.0.1:2", "kaai-zuid")
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@attrs.define(eq=False)
class Bench:
    """A dispatcher whose ledger has one serving agent."""

    clock: core.ManualClock
    """Clock that stands still."""

    ledger: core.Ledger
    """Ledger of the dispatcher."""

    dispatcher: _dispatcher.Dispatcher
    """The dispatcher, not running."""


def build_bench() -> Bench:
    """Return a dispatcher with one agent of two slots."""
    clock = core.ManualClock()
    ledger = core.Ledger(core.LateBinding())
    ledger.hear_report(build_report(), clock.now())
    dispatcher = _dispatcher.Dispatcher(ledger, MEMBER, clock)
    return Bench(clock, ledger, dispatcher)


def build_report(state: str = "serving", incarnation: int = 1) -> core.Report:
    """Return the heartbeat of an agent with two slots."""
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
    """Return a submission with a request that waits for its answer."""
    headers = {"traceparent": traceparent} if traceparent else {}
    exchange = transport.Exchange("POST", "/", {}, headers, b"", None)
    request = core.JobRequest(tuple(core.TaskRequest() for _ in range(tasks)))
    return _requests.Submission(
        exchange, "hall", "print", request, "", traceparent
    )


def build_job(bench: Bench, submission: _requests.Submission) -> core.Job:
    """Return the job of a submission, in the ledger's backlog."""
    now = bench.clock.now()
    job = core.Job(
        "job-1",
        submission.team,
        submission.service,
        submission.request,
        now,
        now + datetime.timedelta(seconds=30),
        bench.ledger.make_machine(),
        traceparent=submission.traceparent,
    )
    bench.ledger.submit(job)
    return job


def build_results(action: core.SendOrders, run_ms: float) -> core.Results:
    """Return that every attempt of a dispatch finished."""
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
