"""Metric families of an entry with their help texts."""

import attrs

import cowslipgate_core as core
from cowslipgate_entry.observation import _readings
import cowslipgate_transport as transport


@attrs.frozen
class Families:
    """Metric families in the order in which they are rendered."""

    jobs: transport.Counter
    """Accepted jobs answered, by outcome."""

    refusals: transport.Counter
    """Jobs refused, by type."""

    cancellations: transport.Counter
    """Rows of cancellations and submissions refused by them, by action."""

    overloads: transport.Counter
    """Jobs refused because of overload, by route."""

    start_rate: transport.Gauge
    """Rate at which waiting work is started, by service."""

    forecast_wait: transport.Gauge
    """Forecast wait of a new job, by service and priority."""

    response: transport.Summary
    """Response time of complete jobs, in seconds."""

    ratio: transport.Summary
    """Response time divided by the ideal."""

    queue_wait: transport.Summary
    """Seconds from a job's acceptance to each dispatch."""

    sends: transport.Counter
    """Messages sent, by purpose and by useful or wasted work."""

    attempts: transport.Counter
    """Attempts ended, by outcome."""

    starts: transport.Counter
    """Tasks known to have been started."""

    preemptions: transport.Counter
    """Runs asked to stop for more urgent jobs."""

    preempted_finished: transport.Counter
    """Those of them that finished first."""

    preempted_work: transport.Counter
    """Core-seconds of the runs that were stopped."""

    separated: transport.Counter
    """Tasks sent elsewhere because of an interfering pair."""

    interfering: transport.Gauge
    """Pairs of routes that interfere."""

    slot_seconds: transport.Counter
    """Slot-seconds, used and needed."""

    last_minute: transport.Gauge
    """Slot-seconds of the last whole minute."""

    busiest_minute: transport.Gauge
    """Slot-seconds of the busiest whole minute."""

    agents: transport.Gauge
    """Agents by state of their target."""

    jobs_in_flight: transport.Gauge
    """Jobs in flight."""

    tasks: transport.Gauge
    """Tasks of jobs in flight, by state."""

    version: transport.Gauge
    """Configuration version in force."""

    models: transport.Gauge
    """Models whose targets share what is learned about their speed."""

    model_targets: transport.Gauge
    """Targets that have one of these models."""

    connections: transport.Gauge
    """Open caller connections."""

    http_refused: transport.Counter
    """Requests refused or cut off by the HTTP server."""

    malformed: transport.Counter
    """Internal messages not decoded or refused, by reason."""

    denials: transport.Counter
    """Internal connections refused for an unknown key."""

    estimate_calls: transport.Counter
    """Calls of the store for estimates, by call and result."""

    domain_sends: transport.Counter
    """Tasks sent, by whether the target is in the entry's failure domain."""

    errors: transport.Counter
    """Unhandled exceptions, by type."""


def make_families(readings: _readings.Readings, clock: core.Clock) -> Families:
    """Return the families; gauges read their values from ``readings``."""
    counter = transport.Counter
    gauge = transport.Gauge
    summary = transport.Summary
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
        cancellations=counter(
            "cowslipgate_cancellations_total",
            "Rows of cancellations written to the store, removed from it or "
            "read at the start, and submissions refused since their job had "
            "been cancelled.",
            "action",
        ),
        overloads=counter(
            "cowslipgate_overload_refusals_total",
            "Jobs refused as overloaded of which nothing ran, by route.",
            "route",
        ),
        start_rate=gauge(
            "cowslipgate_start_rate",
            "Seconds of work at speed one that the entry starts in a second, "
            "of services with admission by forecast and no room.",
            readings.list_rates,
            "service",
        ),
        forecast_wait=gauge(
            "cowslipgate_forecast_wait_seconds",
            "Forecast time until a new job would start, by priority, of "
            "services with admission by forecast and no room.",
            readings.list_waits,
            "service",
            "priority",
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
        preemptions=counter(
            "cowslipgate_preemptions_total",
            "Runs asked to stop so that a more urgent job gets their room.",
        ),
        preempted_finished=counter(
            "cowslipgate_preemptions_finished_total",
            "Those of them that finished before they were stopped.",
        ),
        preempted_work=counter(
            "cowslipgate_preempted_core_seconds_total",
            "Work of the runs that were stopped, which is done again.",
        ),
        separated=counter(
            "cowslipgate_separated_placements_total",
            "Tasks sent to another target, equally good otherwise, since "
            "tasks of routes that slow each other down would have met.",
        ),
        interfering=gauge(
            "cowslipgate_interfering_pairs",
            "Ordered pairs of routes of which the first is slower beside "
            "the second.",
            readings.count_interfering,
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
        models=gauge(
            "cowslipgate_models",
            "Models whose targets share what is learned about their speed.",
            readings.count_models,
        ),
        model_targets=gauge(
            "cowslipgate_model_targets",
            "Targets that have a model with a shared speed.",
            readings.count_model_targets,
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
        estimate_calls=counter(
            "cowslipgate_estimate_calls_total",
            "Calls of the store for stored estimates, by call and result.",
            "call",
            "result",
        ),
        domain_sends=counter(
            "cowslipgate_domain_sends_total",
            "Tasks sent to targets of the own failure domain and of others.",
            "domain",
        ),
        errors=counter(
            "cowslipgate_internal_errors_total",
            "Exceptions that a handler did not expect, by type.",
            "error",
        ),
    )
