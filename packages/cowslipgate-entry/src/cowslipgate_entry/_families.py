"""Every metric family of an entry, with its help text."""

import attrs

import cowslipgate_core as core
from cowslipgate_entry import _exposition
from cowslipgate_entry import _readings


@attrs.frozen
class Families:
    """Every metric family, in the order of the exposition."""

    jobs: _exposition.Counter
    """Jobs answered by outcome."""

    refusals: _exposition.Counter
    """Jobs refused by type."""

    response: _exposition.Summary
    """Response time of complete jobs."""

    ratio: _exposition.Summary
    """Response time against the ideal."""

    queue_wait: _exposition.Summary
    """Wait of tasks at the entry."""

    sends: _exposition.Counter
    """Sends by purpose."""

    attempts: _exposition.Counter
    """Attempts by outcome."""

    starts: _exposition.Counter
    """Tasks started."""

    slot_seconds: _exposition.Counter
    """Slot time used and needed."""

    last_minute: _exposition.Gauge
    """Slot time of the last minute."""

    busiest_minute: _exposition.Gauge
    """Slot time of the busiest minute."""

    agents: _exposition.Gauge
    """Agents by state."""

    jobs_in_flight: _exposition.Gauge
    """Jobs in flight."""

    tasks: _exposition.Gauge
    """Tasks by state."""

    version: _exposition.Gauge
    """Configuration version."""

    connections: _exposition.Gauge
    """Caller connections."""

    http_refused: _exposition.Counter
    """Requests refused before they were read."""

    malformed: _exposition.Counter
    """Malformed internal messages."""

    denials: _exposition.Counter
    """Connections with an unknown key."""

    errors: _exposition.Counter
    """Unhandled exceptions."""


def make_families(readings: _readings.Readings, clock: core.Clock) -> Families:
    """Return the families, gauges reading from ``readings``."""
    counter = _exposition.Counter
    gauge = _exposition.Gauge
    summary = _exposition.Summary
    return Families(
        jobs=counter(
            "cowslipgate_jobs_total",
            "Accepted jobs answered: complete, or the type of the failure.",
            "outcome",
        ),
        refusals=counter(
            "cowslipgate_refusals_total",
            "Jobs refused before anything was sent, by type.",
            "type",
        ),
        response=summary(
            "cowslipgate_response_seconds",
            "Time from acceptance to answer of complete jobs.",
            clock,
        ),
        ratio=summary(
            "cowslipgate_response_ratio",
            "Response time over the ideal. The ideal is the larger of the "
            "longest task on the fastest open target of the service and all "
            "the job's work spread over all its open slots, from measured "
            "run times and learned speeds.",
            clock,
        ),
        queue_wait=summary(
            "cowslipgate_queue_wait_seconds",
            "Time from a job's acceptance to each dispatch of a task of it.",
            clock,
        ),
        sends=counter(
            "cowslipgate_sends_total",
            "Sends to agents and entries by purpose. A dispatch counts each "
            "attempt when its job is answered, useful when it gave a result "
            "of a complete job; every other message counts as wasted.",
            "purpose",
            "work",
        ),
        attempts=counter(
            "cowslipgate_attempts_total",
            "Attempts by the outcome that their agent told.",
            "outcome",
        ),
        starts=counter(
            "cowslipgate_starts_total", "Tasks known to have been started."
        ),
        slot_seconds=counter(
            "cowslipgate_slot_seconds_total",
            "Slot time used by tasks that ended, and needed by complete jobs.",
            "use",
        ),
        last_minute=gauge(
            "cowslipgate_slot_seconds_last_minute",
            "Slot time of the last whole minute.",
            readings.get_last_minute,
            "use",
        ),
        busiest_minute=gauge(
            "cowslipgate_slot_seconds_busiest_minute",
            "Slot time of the busiest whole minute since the start.",
            readings.get_busiest_minute,
            "use",
        ),
        agents=gauge(
            "cowslipgate_agents",
            "Known agents by the state of their target.",
            readings.count_agents,
            "state",
        ),
        jobs_in_flight=gauge(
            "cowslipgate_jobs_in_flight",
            "Jobs in flight.",
            readings.count_jobs,
        ),
        tasks=gauge(
            "cowslipgate_tasks",
            "Tasks of jobs in flight by state.",
            readings.count_tasks,
            "state",
        ),
        version=gauge(
            "cowslipgate_configuration_version",
            "Configuration version in force at this entry.",
            readings.get_version,
        ),
        connections=gauge(
            "cowslipgate_connections",
            "Open caller connections.",
            readings.count_connections,
        ),
        http_refused=counter(
            "cowslipgate_http_refused_total",
            "Requests refused or cut off by the HTTP server, by type.",
            "type",
        ),
        malformed=counter(
            "cowslipgate_messages_malformed_total",
            "Internal messages that could not be decoded or were refused.",
            "reason",
        ),
        denials=counter(
            "cowslipgate_key_denials_total",
            "Internal connections refused because their key is not known.",
        ),
        errors=counter(
            "cowslipgate_internal_errors_total",
            "Exceptions that a handler did not expect, by type.",
            "error",
        ),
    )
