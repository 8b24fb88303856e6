"""Simulation of a day of a site, with its entries, agents and targets."""

from collections.abc import Callable
import datetime
import functools
import math
import random

import attrs
import cowslipgate_core as core
import msgspec

from cowslipgate_bench.model import _agents
from cowslipgate_bench.model import _entries
from cowslipgate_bench.model import _exact_estimates
from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _sites
from cowslipgate_bench.model import _targets
from cowslipgate_bench.model import _traffic

START_SECONDS = 2.0
"""Time before traffic, in which agents connect to entries."""

FINISH_SECONDS = 15.0
"""Time after traffic, in which accepted jobs end."""

HANDLING_SECONDS = 0.000_5
"""Time that a process takes to handle a message."""

DEADLINE_FACTOR = 4.0
"""Multiple of the objective that callers set as the deadline."""

LATE_FACTOR = 3.0
"""Multiple of the objective after which an answer is worth nothing."""

LATE_WORTH = 0.2
"""Share of the worth that a late answer earns."""


@attrs.frozen
class Day:
    """Parameters of a simulated day."""

    site: _sites.Site
    """The deployment."""

    pattern: _sites.Pattern
    """Load and fault."""

    policy: core.Policy
    """Policy by which entries choose targets."""

    load: float = 1.0
    """Multiple of the site's traffic."""

    seconds: float = 30.0
    """Seconds of traffic."""

    seed: int = 1
    """Seed of the traffic and of faults."""

    central: bool = False
    """Whether a single entry serves all callers, without latencies."""

    exact_estimates: bool = False
    """Whether entries have the true sizes and speeds."""


@attrs.frozen
class DayFigures:
    """Figures of a simulated day."""

    requests: int
    """Number of requests."""

    in_time: float
    """Share of the requests answered within the objective."""

    late: float
    """Share answered later, within three times the objective."""

    worth: float
    """Worth earned over the worth of all requests; late counts a fifth."""

    worst_kind: float
    """The same for the kind of request with the lowest share."""

    median_ms: float
    """Median response time of complete jobs, in milliseconds."""

    p99_ms: float
    """99th percentile of these, in milliseconds."""

    refused: float
    """Orders that agents refused, over the number of tasks."""

    stalled: int
    """Number of stalled runs that were stopped to run elsewhere."""


@attrs.define
class _Outcome:
    """A request and its response time."""

    request: _traffic.Request
    """The request."""

    seconds: float = math.inf
    """Response time; infinite unless the job was answered complete."""


def find_objective(site: _sites.Site, request: _traffic.Request) -> float:
    """Return the response-time objective of a request, in seconds."""
    return site.latency_seconds + site.slowdown * max(request.seconds)


def make_targets(day: Day, loop: _loop.Loop) -> list[_targets.Target]:
    """Return the targets of a day with their faults."""
    faulty = _choose_faulty_targets(day)
    speeds, millicores = _sites.TARGET_SPEEDS, _sites.TARGET_MILLICORES
    return [
        _targets.Target(
            speeds[number % len(speeds)],
            millicores[number % len(millicores)],
            loop,
            random.Random(day.seed * 1_000 + number),
            day.pattern.fault if number in faulty else _sites.Fault.NONE,
            day.pattern.share,
            START_SECONDS + day.seconds / 3,
            START_SECONDS + 2 * day.seconds / 3,
        )
        for number in range(day.site.targets)
    ]


def _choose_faulty_targets(day: Day) -> set[int]:
    numbers = list(range(day.site.targets))
    match day.pattern.fault:
        case _sites.Fault.NONE:
            return set()
        case _sites.Fault.LOST_ORDERS:
            return set(numbers)
    count = max(1, round(day.pattern.share * len(numbers)))
    return set(random.Random(day.seed).sample(numbers, count))


class _Simulation:
    """The simulated system of one day."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._loop = _loop.Loop()
        self._outcomes: dict[str, _Outcome] = {}
        self._jobs: dict[str, _Outcome] = {}
        site = day.site
        count = 1 if day.central else site.domains
        incarnations = list(range(1, count + 1))
        self._domains = {n: n - 1 for n in incarnations}
        self._entries = {
            n: _entries.Entry(
                n,
                day.policy,
                count,
                self._loop,
                functools.partial(self._send_to_agent, n),
                self._record_answer,
                self._make_estimates(),
            )
            for n in incarnations
        }
        self._agents = {agent.name: agent for agent in self._make_agents(site)}
        for agent in self._agents.values():
            agent.start(incarnations)

    def _make_estimates(self) -> core.Estimates | None:
        if not self._day.exact_estimates:
            return None
        return _exact_estimates.ExactEstimates(
            lambda agent: self._agents[agent].target.get_current_speed()
        )

    def _make_agents(self, site: _sites.Site) -> list[_agents.Agent]:
        agents = []
        for number, target in enumerate(make_targets(self._day, self._loop)):
            name = f"agent-{number:02}"
            agents.append(
                _agents.Agent(
                    name,
                    number % site.domains,
                    target,
                    self._loop,
                    functools.partial(self._send_to_entry, name),
                    self._find_seconds,
                )
            )
        return agents

    def run(self) -> DayFigures:
        """Simulate the day and return its figures."""
        day = self._day
        site = attrs.evolve(
            day.site,
            requests_per_second=day.site.requests_per_second * day.load,
        )
        for request in _traffic.make_traffic(
            site, day.pattern, day.seconds, day.seed
        ):
            self._outcomes[request.name] = _Outcome(request)
            submit = functools.partial(self._submit, request)
            self._loop.call_in(START_SECONDS + request.at, submit)
        self._loop.run(START_SECONDS + day.seconds + FINISH_SECONDS)
        return self._measure()

    def _submit(self, request: _traffic.Request) -> None:
        numbers = list(self._entries)
        entry = self._entries[numbers[request.entry % len(numbers)]]
        needs = core.Resources(64, 0, request.millicores)
        tasks = tuple(
            core.TaskRequest(
                msgspec.Raw(b"null"), request.kind.name, size_ms, needs
            )
            for size_ms in self._list_declared_ms(request)
        )
        site = self._day.site
        terms = core.JobTerms(
            request.name,
            "0.0",
            request.kind.attempts,
            True,
            request.kind.priority,
            datetime.timedelta(seconds=site.latency_seconds),
            site.slowdown,
        )
        wait = DEADLINE_FACTOR * find_objective(site, request)
        now = self._loop.now()
        job = core.Job(
            f"job-{request.name}",
            _entries.TEAM,
            _agents.SERVICE,
            core.JobRequest(tasks),
            now,
            now + datetime.timedelta(seconds=wait),
            entry.ledger.make_machine(),
            terms=terms,
        )
        self._jobs[job.id] = self._outcomes[request.name]
        entry.submit(job)

    def _list_declared_ms(self, request: _traffic.Request) -> list[float]:
        declared = [request.declared_seconds] * len(request.seconds)
        if self._day.exact_estimates:
            declared = list(request.seconds)
        return [seconds * 1_000 for seconds in declared]

    def _find_seconds(self, task: str) -> float:
        job, index, _ = task.split(".")
        return self._jobs[job].request.seconds[int(index)]

    def _record_answer(self, job: core.Job, answer: core.JobAnswer) -> None:
        if answer.failure is None:
            response_time = self._loop.now() - job.submitted_at
            self._jobs[job.id].seconds = response_time.total_seconds()

    def _send_to_agent(self, entry: int, agent: str, message: object) -> None:
        delay = self._get_delay(entry, agent)
        self._deliver(delay, self._agents[agent].handle_message, message)

    def _send_to_entry(self, agent: str, entry: int, message: object) -> None:
        delay = self._get_delay(entry, agent)
        self._deliver(delay, self._entries[entry].handle_message, message)

    def _deliver(
        self, delay: float, handler: Callable[[object], None], message: object
    ) -> None:
        self._loop.call_in(delay, functools.partial(handler, message))

    def _get_delay(self, entry: int, agent: str) -> float:
        if self._day.central:
            return 0.0
        site = self._day.site
        same_domain = self._domains[entry] == self._agents[agent].domain
        latency = (
            site.same_domain_seconds
            if same_domain
            else site.cross_domain_seconds
        )
        return latency + HANDLING_SECONDS

    def _measure(self) -> DayFigures:
        outcomes = list(self._outcomes.values())
        ratios = [
            outcome.seconds / find_objective(self._day.site, outcome.request)
            for outcome in outcomes
        ]
        in_time = sum(1 for ratio in ratios if ratio <= 1.0)
        late = sum(1 for ratio in ratios if 1.0 < ratio <= LATE_FACTOR)
        done = sorted(o.seconds for o in outcomes if o.seconds < math.inf)
        ledgers = [entry.ledger for entry in self._entries.values()]
        refused = sum(ledger.counters.refused for ledger in ledgers)
        tasks = sum(len(outcome.request.seconds) for outcome in outcomes)
        worths = [
            _measure_worth(outcomes, ratios, kind)
            for kind in (None, *self._day.site.kinds)
        ]
        return DayFigures(
            len(outcomes),
            in_time / len(outcomes),
            late / len(outcomes),
            worths[0],
            min(worths[1:]),
            _find_quantile(done, 0.5) * 1_000,
            _find_quantile(done, 0.99) * 1_000,
            refused / tasks,
            sum(ledger.counters.stalled for ledger in ledgers),
        )


def _measure_worth(
    outcomes: list[_Outcome],
    ratios: list[float],
    kind: _sites.Kind | None,
) -> float:
    """Return the share of the worth earned; None means all kinds."""
    total = earned = 0.0
    for outcome, ratio in zip(outcomes, ratios, strict=True):
        if kind is not None and outcome.request.kind is not kind:
            continue
        worth = outcome.request.kind.worth
        total += worth
        if ratio <= 1.0:
            earned += worth
        elif ratio <= LATE_FACTOR:
            earned += worth * LATE_WORTH
    return earned / total if total else 1.0


def _find_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def simulate_day(day: Day) -> DayFigures:
    """Simulate a day and return its figures."""
    return _Simulation(day).run()
