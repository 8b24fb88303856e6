"""Builders of jobs, messages and executors for tests."""

import datetime

import cowslipgate_core as core
import msgspec

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def build_job(
    ledger: core.Ledger, tasks: int = 1, job_id: str = "job-1"
) -> core.Job:
    """Return a queued job with ``tasks`` default tasks."""
    request = core.JobRequest(tuple(core.TaskRequest() for _ in range(tasks)))
    return core.Job(
        job_id,
        "hall",
        "print",
        request,
        NOW,
        NOW + datetime.timedelta(seconds=30),
        ledger.make_machine(),
    )


def build_marked_job(
    ledger: core.Ledger, tasks: int, job_id: str, now: datetime.datetime
) -> core.Job:
    """Return a queued job whose payloads are ``"<job>/<index>"``."""
    payloads = [f'"{job_id}/{n}"'.encode() for n in range(tasks)]
    request = core.JobRequest(
        tuple(core.TaskRequest(msgspec.Raw(raw)) for raw in payloads)
    )
    return core.Job(
        job_id,
        "hall",
        "print",
        request,
        now,
        now + datetime.timedelta(seconds=30),
        ledger.make_machine(),
    )


def build_report(
    agent: str = "agent-1",
    incarnation: int = 1,
    slots: int = 8,
    own: int = 0,
) -> core.Report:
    """Return the heartbeat of a serving agent."""
    return core.Report(
        agent,
        incarnation,
        "print",
        "kaai-zuid",
        "serving",
        core.Resources(1000, 0),
        core.Load(slots, own, 0),
        1,
        "",
    )


def build_results(
    *reports: core.AttemptReport, agent: str = "agent-1", incarnation: int = 1
) -> core.Results:
    """Return the message of an agent with these outcomes."""
    return core.Results(agent, incarnation, core.Load(8, 0, 0), reports)


def build_order(attempt: int, job: str = "job-1") -> core.Order:
    """Return the order of an attempt of the first task of a job."""
    return core.Order(attempt, f"{job}.0.{attempt}", "tag", b"{}")


def build_dispatch(*orders: core.Order, version: int = 1) -> core.Dispatch:
    """Return a dispatch of entry 7 to agent incarnation 1."""
    return core.Dispatch(7, 1, version, orders)


def build_announcement(
    slots: int = 8, address: str = "http://127.0.0.1:1", connections: int = 64
) -> core.Announcement:
    """Return the announcement of a target."""
    return core.Announcement("print", address, slots, connections)


def build_executor(slots: int = 2, queue_limit: int = 1) -> core.Executor:
    """Return an executor of incarnation 1 with a serving target."""
    executor = core.Executor(1, queue_limit)
    executor.announce(build_announcement(slots), NOW)
    return executor
