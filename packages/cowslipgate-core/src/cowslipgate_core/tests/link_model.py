"""A model of one entry, its agents and links that break, on simulated time.

Messages of a link arrive in order, unless it is reset: then all that are on
their way are lost, and the agent connects again a little later. Runs are
recorded with the time of their end.
"""

import datetime
import random

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

AGENTS = 3
SLOTS = 4
QUOTAS = {"hall": 100}
TARGET_LAPSE = datetime.timedelta(days=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
STEP_MS = 10
TICK_MS = 100
HEARTBEAT_MS = 500
RECONNECT_GRACE_MS = 500
STOP_MS = 50


@attrs.define(eq=False)
class _Run:
    """A run at the target of an agent."""

    key: core.AttemptKey
    """The attempt."""

    job: str
    """Id of its job."""

    ends_at: int
    """When it ends, in milliseconds."""

    outcome: core.Outcome = core.Outcome.FINISHED
    """How it ends."""


@attrs.define(eq=False)
class _Agent:
    """An agent, its target and its link to the entry."""

    name: str
    """Name of the agent."""

    latency_ms: int
    """Time that a message takes, in milliseconds."""

    reported_at: int
    """When it last sent a report."""

    executor: core.Executor = attrs.Factory(builders.build_executor)
    """The executor."""

    messages: list[tuple[int, bool, object]] = attrs.Factory(list)
    """Messages on their way: arrival, whether to the agent, message."""

    runs: list[_Run] = attrs.Factory(list)
    """Runs at its target."""

    broken_at: int | None = None
    """When the connection broke, or None while it stands."""

    connects_at: int = 0
    """When it is connected again."""

    noticed: bool = False
    """Whether the entry has noticed that the connection broke."""

    leaving: bool = False
    """Whether the agent sends goodbyes in place of reports."""


class LinkModel:
    """An entry whose callers leave and whose links are reset."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._now_ms = 0
        self.ledger = core.Ledger(core.LateBinding(), 7)
        self._agents = [
            _Agent(
                f"agent-{number}",
                self._random.choice((STEP_MS, 40, 80)),
                self._random.randrange(0, HEARTBEAT_MS, STEP_MS),
            )
            for number in range(AGENTS)
        ]
        for agent in self._agents:
            announcement = builders.build_announcement(SLOTS)
            agent.executor.announce(announcement, self._now)
            self._connect(agent)
        self._jobs = 0

    @property
    def _now(self) -> datetime.datetime:
        return builders.NOW + self._now_ms * MILLISECOND

    def submit(self, tasks: int) -> None:
        """Submit a job."""
        self._jobs += 1
        job = builders.build_job(self.ledger, tasks, f"job-{self._jobs}")
        job.terms = core.JobTerms(rerun_lost=True)
        self.ledger.submit(job)

    def leave(self, number: int) -> None:
        """Make an agent leave the entry, to which it says goodbye."""
        self._agents[number].leaving = True

    def disrupt(self) -> set[str]:
        """Reset about half of the connections; return the callers' jobs."""
        for agent in self._agents:
            if self._random.random() < 0.5:
                self._reset(agent)
        abandoned = {
            job_id
            for job_id in list(self.ledger.jobs)
            if self._random.random() < 0.5
        }
        jobs = [self.ledger.jobs[job_id] for job_id in sorted(abandoned)]
        self._perform(self.ledger.cancel_all(jobs, self._now))
        return abandoned

    def reset_links(self) -> None:
        """Reset about half of the links."""
        for agent in self._agents:
            if self._random.random() < 0.5:
                self._reset(agent)

    def list_running(self) -> set[str]:
        """Return the jobs of which a run is active."""
        return {run.job for agent in self._agents for run in agent.runs}

    def run(self, milliseconds: int) -> None:
        """Let time pass."""
        for _ in range(0, milliseconds, STEP_MS):
            self._now_ms += STEP_MS
            for agent in self._agents:
                self._advance(agent)
            if self._now_ms % TICK_MS == 0:
                self._perform(self.ledger.tick(self._now))
            self._perform(self.ledger.assign(self._now, QUOTAS))

    def _advance(self, agent: _Agent) -> None:
        self._end_runs(agent)
        if agent.broken_at is not None:
            self._advance_broken(agent)
            return
        while agent.messages and agent.messages[0][0] <= self._now_ms:
            _, to_agent, message = agent.messages.pop(0)
            if to_agent:
                self._deliver_to_agent(agent, message)
            else:
                self._deliver_to_entry(message)
        if self._now_ms - agent.reported_at >= HEARTBEAT_MS:
            self._report(agent)
        if self._now_ms % TICK_MS == 0:
            actions = agent.executor.tick(self._now, TARGET_LAPSE)
            self._perform_agent(agent, actions)

    def _advance_broken(self, agent: _Agent) -> None:
        if self._now_ms >= agent.connects_at:
            self._connect(agent)
        elif self._now_ms - agent.broken_at > RECONNECT_GRACE_MS:
            actions = agent.executor.drop_entry(7, self._now)
            self._perform_agent(agent, actions)

    def _reset(self, agent: _Agent) -> None:
        agent.messages.clear()
        agent.broken_at = self._now_ms
        agent.connects_at = self._now_ms + self._random.choice((50, 100, 200))
        agent.noticed = self._random.random() < 0.5

    def _connect(self, agent: _Agent) -> None:
        agent.broken_at = None
        agent.executor.connect(7)
        self._report(agent)

    def _report(self, agent: _Agent) -> None:
        agent.reported_at = self._now_ms
        message: object = core.Goodbye(agent.name, 1, 1)
        if not agent.leaving:
            message = attrs.evolve(
                builders.build_report(agent.name),
                load=agent.executor.measure_load(7),
                link=agent.executor.get_link(7),
            )
        self._send(agent, False, message)

    def _send(self, agent: _Agent, to_agent: bool, message: object) -> None:
        if agent.broken_at is None:
            arrival = self._now_ms + agent.latency_ms
            agent.messages.append((arrival, to_agent, message))

    def _deliver_to_entry(self, message: object) -> None:
        match message:
            case core.Report():
                self._perform(self.ledger.handle_report(message, self._now))
            case core.Goodbye():
                self.ledger.handle_goodbye(message, self._now)
            case core.Results():
                self._perform(self.ledger.handle_results(message, self._now))

    def _deliver_to_agent(self, agent: _Agent, message: object) -> None:
        match message:
            case core.Dispatch():
                actions = agent.executor.dispatch(message, self._now)
            case core.Withdraw():
                actions = agent.executor.withdraw(message, self._now)
        self._perform_agent(agent, actions)

    def _perform(self, actions: list[core.LedgerAction]) -> None:
        agents = {agent.name: agent for agent in self._agents}
        for action in actions:
            match action:
                case core.SendOrders():
                    self._dispatch(agents[action.agent], action)
                case core.SendWithdraw():
                    message = core.Withdraw(7, 1, action.attempts, action.stop)
                    self._send(agents[action.agent], True, message)

    def _dispatch(self, agent: _Agent, action: core.SendOrders) -> None:
        if agent.broken_at is not None and agent.noticed:
            attempts = tuple(order.attempt for order in action.orders)
            actions = self.ledger.handle_unsent(
                agent.name, attempts, self._now
            )
            self._perform(actions)
            return
        link = self.ledger.agents[agent.name].report.link
        message = core.Dispatch(7, 1, 1, action.orders, link=link)
        self._send(agent, True, message)

    def _perform_agent(
        self, agent: _Agent, actions: list[core.ExecutorAction]
    ) -> None:
        for action in actions:
            match action:
                case core.StartTask():
                    job = action.order.task.partition(".")[0]
                    length = self._random.choice((100, 400, 5_000))
                    run = _Run(action.key, job, self._now_ms + length)
                    agent.runs.append(run)
                case core.StopTask():
                    self._stop(agent, action.key)
                case core.SendReports():
                    load = agent.executor.measure_load(7)
                    results = core.Results(
                        agent.name, 1, load, action.reports, 7
                    )
                    self._send(agent, False, results)

    def _stop(self, agent: _Agent, key: core.AttemptKey) -> None:
        for run in agent.runs:
            if run.key == key:
                run.ends_at = min(run.ends_at, self._now_ms + STOP_MS)
                run.outcome = core.Outcome.STOPPED

    def _end_runs(self, agent: _Agent) -> None:
        for run in list(agent.runs):
            if run.ends_at <= self._now_ms:
                agent.runs.remove(run)
                report = core.AttemptReport(run.key.attempt, run.outcome)
                actions = agent.executor.end_task(run.key, report, self._now)
                self._perform_agent(agent, actions)
