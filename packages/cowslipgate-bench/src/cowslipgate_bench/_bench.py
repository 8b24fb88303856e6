"""Runs a trace against real processes, for each policy and load."""

from collections.abc import Iterator
import http
import os
import pathlib
import statistics
import tempfile

import attrs
import cowslipgate_core as core
import psutil

from cowslipgate_bench import _cluster
from cowslipgate_bench import _figures
from cowslipgate_bench import _ideal
from cowslipgate_bench import _load
from cowslipgate_bench import _target
from cowslipgate_bench import _waits
from cowslipgate_bench import _workload

SLOTS = 8
SPEEDS = tuple(0.5 + 0.15 * number for number in range(11))
# Both targets are indices into SPEEDS.
SLOW_TARGET = 8
SLOW_FACTOR = 0.1
FAILING_TARGET = 6
UNLIMITED_QUEUE = 1_000_000
# These policies send at once, so agents must not refuse for a full queue.
PUSH_POLICIES = ("round_robin", "least_completion")
DOMAINS = {
    _workload.Profile.STEADY: ("kaai-zuid", "dokken-noord", "depot-berchem"),
    _workload.Profile.SCHELDE: ("kaai-zuid", "dokken-noord", "depot-berchem"),
    _workload.Profile.HADDAD: ("ruwi", "qurum", "seeb", "muttrah"),
}
WEIGHTS = {
    _workload.Profile.STEADY: (0.5, 0.5),
    _workload.Profile.SCHELDE: (0.8, 0.2),
    _workload.Profile.HADDAD: (0.2, 0.8),
}


@attrs.frozen
class BenchOptions:
    """Options of a benchmark."""

    policies: tuple[str, ...]
    """Names of the policies, which run one after another."""

    loads: tuple[float, ...]
    """Offered work divided by capacity; every policy runs at each."""

    seed: int = 1
    """Seed of the trace."""

    seconds: float = 30.0
    """Seconds of measured arrivals."""

    warm_up: float = 8.0
    """Seconds of arrivals before the measured ones."""

    profile: _workload.Profile = _workload.Profile.STEADY
    """Shape of the arrivals; selects failure domains and weights too."""

    weights: tuple[float, float] | None = None
    """Weights of response and waste, or None for those of the profile."""

    bad_targets: bool = False
    """Whether one target fails everything and one is ten times slower."""

    wave: bool = False
    """Whether labelled jobs are cancelled half-way."""

    entries: int = 3
    """Number of entries."""

    targets: int = len(SPEEDS)
    """Number of targets."""

    queue_limit: int | None = None
    """Queue limit of the agents, or None for the default."""


def list_targets(options: BenchOptions) -> list[_target.TargetOptions]:
    """Return the options of each target."""
    targets = []
    for number, speed in enumerate(SPEEDS[: options.targets]):
        failing = options.bad_targets and number == FAILING_TARGET
        if options.bad_targets and number == SLOW_TARGET:
            speed *= SLOW_FACTOR
        targets.append(
            _target.TargetOptions(
                _load.SERVICE, 0, slots=SLOTS, speed=speed, failing=failing
            )
        )
    return targets


def run_bench(options: BenchOptions) -> Iterator[_figures.RunFigures]:
    """Yield the figures of each policy at each load."""
    capacity = SLOTS * sum(SPEEDS[: options.targets])
    speeds = [
        _ideal.TargetSpeed(target.slots, target.speed)
        for target in list_targets(options)
        if not target.failing
    ]
    for load in options.loads:
        trace = _workload.make_trace(
            _workload.TraceOptions(
                options.seed,
                load,
                capacity,
                options.seconds,
                options.warm_up,
                options.profile,
            )
        )
        schedule = _ideal.find_best_schedule(trace, speeds)
        bound = _ideal.bound_mean(trace, speeds)
        for policy in options.policies:
            yield _run_policy(policy, load, options, trace, schedule, bound)


def _run_policy(
    policy: str,
    load: float,
    options: BenchOptions,
    trace: _workload.Trace,
    schedule: _ideal.Schedule,
    bound: float,
) -> _figures.RunFigures:
    with tempfile.TemporaryDirectory() as folder:
        with _cluster.Cluster(pathlib.Path(folder)) as cluster:
            _start_cluster(cluster, policy, options, trace)
            before = _read_counters(cluster)
            wave_at = options.warm_up + options.seconds / 2
            outcomes = _load.run_trace(
                cluster.balancer_port,
                trace,
                wave_at if options.wave else None,
            )
            messages = _figures.count_messages(before, _read_counters(cluster))
            processor = _read_processor_time(cluster)
            usage = _figures.read_usage(cluster.read_journal())
    measured = trace.list_measured()
    complete = [i for i in measured if outcomes[i].complete]
    responses = [outcomes[i].response for i in complete] or [0.0]
    finished = {outcome.job for outcome in outcomes if outcome.complete}
    return _figures.RunFigures(
        policy=policy,
        load=load,
        jobs=len(measured),
        failures=_figures.count_failures(outcomes, measured),
        mean_seconds=statistics.fmean(responses),
        tail_seconds=_figures.compute_percentile_99(responses),
        over_schedule=_figures.compare_responses(outcomes, schedule, measured),
        over_bound=statistics.fmean(responses) / bound,
        schedule=schedule.name,
        messages=messages,
        minute=_figures.find_busiest_minute(usage, finished),
        fairness=_figures.measure_fairness(trace, outcomes, schedule),
        send_delay=max(outcome.send_delay for outcome in outcomes),
        processor_seconds=processor,
        host_load=os.getloadavg()[0],
    )


def _start_cluster(
    cluster: _cluster.Cluster,
    policy: str,
    options: BenchOptions,
    trace: _workload.Trace,
) -> None:
    domains = DOMAINS[options.profile]
    cluster.start_table()
    cluster.start_entries(
        list(domains[: options.entries]), f"--policy={policy}"
    )
    flags = []
    if options.queue_limit is not None:
        flags.append(f"--queue-limit={options.queue_limit}")
    if policy in PUSH_POLICIES:
        flags.append(f"--queue-limit={UNLIMITED_QUEUE}")
    targets = list_targets(options)
    for number, target in enumerate(targets):
        domain = domains[number % len(domains)]
        cluster.start_agent(domain, target, *flags)
    changes = _make_configuration(options, trace)
    _waits.wait_until(
        lambda: cluster.patch(0, changes).status == http.HTTPStatus.OK,
        "the first configuration",
    )
    cluster.wait_ready(len(targets))


def _make_configuration(
    options: BenchOptions, trace: _workload.Trace
) -> dict[str, object]:
    response, waste = options.weights or WEIGHTS[options.profile]
    service = {"response_weight": response, "waste_weight": waste}
    teams = {
        team: {"token_digests": [core.digest_token(_load.make_token(team))]}
        for team in sorted({job.team for job in trace.jobs})
    }
    return {"services": {_load.SERVICE: service}, "teams": teams}


def _read_counters(cluster: _cluster.Cluster) -> list[dict[str, int]]:
    return [
        cluster.call("GET", "/v1/status", port=entry.port).body["counters"]
        for entry in cluster.entries
    ]


def _read_processor_time(cluster: _cluster.Cluster) -> dict[str, float]:
    roles = {
        "entry": cluster.entries,
        "agent": cluster.agents,
        "target": cluster.targets,
    }
    return {
        role: round(sum(_get_processor_seconds(n) for n in nodes), 2)
        for role, nodes in roles.items()
    }


def _get_processor_seconds(node: _cluster.Node) -> float:
    times = psutil.Process(node.process.pid).cpu_times()
    return times.user + times.system
