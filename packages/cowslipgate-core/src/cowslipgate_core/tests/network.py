"""An in-memory network that loses, repeats and reorders messages.

It connects ledgers and executors without sockets or clocks. Starts are
recorded where the target would be called, so that checks don't depend on the
state of the ledgers or executors.
"""

import collections
import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

SLOTS = 2
QUEUE_LIMIT = 1
QUOTAS = {"hall": 100}
TARGET_LAPSE = datetime.timedelta(days=1)


@attrs.frozen
class Packet:
    """A message in transit."""

    entry: int
    """Number of the entry."""

    agent: str
    """Name of the agent."""

    to_agent: bool
    """Whether the agent is the receiver; else the entry is."""

    message: object
    """The message."""


@attrs.define(eq=False)
class Entry:
    """A ledger at an address; a restart replaces it."""

    incarnation: int
    """Incarnation of the ledger."""

    ledger: core.Ledger
    """The ledger."""

    jobs: dict[str, core.Job] = attrs.Factory(dict)
    """Every job that was submitted to this incarnation."""


@attrs.define(eq=False)
class Agent:
    """An executor with its target; a restart replaces it."""

    name: str
    """Name of the agent."""

    incarnation: int
    """Incarnation of the executor."""

    executor: core.Executor
    """The executor."""

    calls: list[core.StartTask] = attrs.Factory(list)
    """Accepted tasks for which the target has not been called yet."""

    running: list[core.StartTask] = attrs.Factory(list)
    """Tasks that the target runs."""


@attrs.define(eq=False)
class Network:
    """Entries, agents and the messages between them."""

    now: datetime.datetime = builders.NOW
    """Current instant."""

    packets: list[Packet] = attrs.Factory(list)
    """Messages in transit, oldest first."""

    entries: list[Entry] = attrs.Factory(list)
    """Current incarnation at each address."""

    agents: dict[str, Agent] = attrs.Factory(dict)
    """Current incarnation of each agent."""

    starts: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Calls of targets by payload."""

    answers: dict[str, list[core.JobAnswer]] = attrs.Factory(dict)
    """Answers by job id."""

    sizes: dict[str, int] = attrs.Factory(dict)
    """Number of tasks by job id."""

    addresses: dict[int, int] = attrs.Factory(dict)
    """Numbers of the entries by incarnation, earlier ones included."""

    incarnations: int = 0
    """Last assigned incarnation of an entry or agent."""

    def start_entry(self, number: int) -> None:
        """Start or restart the entry at address ``number``."""
        self.incarnations += 1
        self.addresses[self.incarnations] = number
        ledger = core.Ledger(core.LateBinding(), self.incarnations)
        entry = Entry(self.incarnations, ledger)
        if number == len(self.entries):
            self.entries.append(entry)
            return
        self.entries[number] = entry
        for name in self.agents:
            self.connect(name, number)

    def start_agent(self, name: str) -> None:
        """Start or restart an agent whose target serves."""
        self.incarnations += 1
        executor = core.Executor(self.incarnations, QUEUE_LIMIT)
        announcement = core.Announcement(
            "print", "http://127.0.0.1:1", SLOTS, 64
        )
        executor.announce(announcement, self.now)
        self.agents[name] = Agent(name, self.incarnations, executor)
        for number in range(len(self.entries)):
            self.connect(name, number)

    def submit(self, number: int, tasks: int) -> core.Job:
        """Submit a job whose payloads name job and index."""
        entry = self.entries[number]
        job_id = f"{entry.incarnation}-{len(entry.jobs)}"
        job = builders.build_marked_job(entry.ledger, tasks, job_id, self.now)
        entry.jobs[job_id] = job
        self.sizes[job_id] = tasks
        self.answers[job_id] = []
        entry.ledger.submit(job)
        return job

    def assign(self, number: int) -> None:
        """Assign the waiting tasks of an entry to targets."""
        ledger = self.entries[number].ledger
        self.perform_entry(number, ledger.assign(self.now, QUOTAS))

    def tick(self) -> None:
        """Call ``tick`` on every ledger and executor."""
        for number, entry in enumerate(self.entries):
            self.perform_entry(number, entry.ledger.tick(self.now))
        for agent in self.agents.values():
            actions = agent.executor.tick(self.now, TARGET_LAPSE)
            self.perform_agent(agent, actions)

    def connect(self, name: str, number: int) -> None:
        """Connect an agent to the entry at an address."""
        entry = self.entries[number].incarnation
        self.agents[name].executor.connect(entry)
        self.report(name, number)

    def report(self, name: str, number: int) -> None:
        """Send a heartbeat of an agent."""
        agent = self.agents[name]
        entry = self.entries[number].incarnation
        report = attrs.evolve(
            builders.build_report(name, agent.incarnation, SLOTS),
            load=agent.executor.measure_load(entry),
            link=agent.executor.get_link(entry),
        )
        self.packets.append(Packet(number, name, False, report))

    def reset_link(self, name: str, number: int) -> None:
        """Drop all messages in transit on a link and reconnect."""
        self.packets = [
            packet
            for packet in self.packets
            if (packet.agent, packet.entry) != (name, number)
        ]
        self.connect(name, number)

    def deliver(self, packet: Packet) -> None:
        """Deliver a packet to the current incarnation at its destination."""
        if packet.to_agent:
            agent = self.agents[packet.agent]
            self.perform_agent(
                agent, self._handle_at_agent(agent, packet.message)
            )
            return
        entry = self.entries[packet.entry]
        match packet.message:
            case core.Report():
                actions = entry.ledger.handle_report(packet.message, self.now)
            case core.Results():
                actions = entry.ledger.handle_results(packet.message, self.now)
                self._acknowledge(entry, packet)
        self.perform_entry(packet.entry, actions)

    def call_target(self, agent: Agent, start: core.StartTask) -> None:
        """Call the target for an accepted task."""
        agent.calls.remove(start)
        agent.running.append(start)
        self.starts[start.order.payload.decode()] += 1

    def refuse_call(self, agent: Agent, start: core.StartTask) -> None:
        """Fail the call for an accepted task before a byte is sent."""
        agent.calls.remove(start)
        report = core.AttemptReport(
            start.key.attempt,
            core.Outcome.NOT_STARTED,
            core.Reason.TARGET_UNREACHABLE,
        )
        actions = agent.executor.end_task(start.key, report, self.now)
        self.perform_agent(agent, actions)

    def end_task(
        self, agent: Agent, start: core.StartTask, outcome: core.Outcome
    ) -> None:
        """End a running task; a finished one returns its payload."""
        agent.running.remove(start)
        report = core.AttemptReport(
            start.key.attempt, outcome, result=start.order.payload
        )
        actions = agent.executor.end_task(start.key, report, self.now)
        self.perform_agent(agent, actions)

    def perform_entry(
        self, number: int, actions: list[core.LedgerAction]
    ) -> None:
        """Turn a ledger's actions into packets and answers."""
        entry = self.entries[number]
        incarnation = entry.incarnation
        for action in actions:
            match action:
                case core.SendOrders():
                    record = entry.ledger.agents[action.agent]
                    message = core.Dispatch(
                        incarnation,
                        action.incarnation,
                        1,
                        action.orders,
                        link=record.report.link,
                    )
                case core.SendWithdraw():
                    message = core.Withdraw(
                        incarnation,
                        action.incarnation,
                        action.attempts,
                        action.stop,
                    )
                case core.AnswerJob():
                    self.answers[action.job.id].append(action.answer)
                    continue
            self.packets.append(Packet(number, action.agent, True, message))

    def perform_agent(
        self, agent: Agent, actions: list[core.ExecutorAction]
    ) -> None:
        """Turn an executor's actions into packets and calls."""
        for action in actions:
            match action:
                case core.StartTask():
                    agent.calls.append(action)
                case core.StopTask():
                    self._stop(agent, action.key)
                case core.SendReports():
                    self._send_reports(agent, action)

    def _stop(self, agent: Agent, key: core.AttemptKey) -> None:
        for start in list(agent.running):
            if start.key == key:
                self.end_task(agent, start, core.Outcome.FAILED)

    def _send_reports(self, agent: Agent, action: core.SendReports) -> None:
        results = core.Results(
            agent.name,
            agent.incarnation,
            agent.executor.measure_load(action.entry),
            action.reports,
            action.entry,
        )
        # The link to an address survives a restart of the entry, so outcomes
        # may reach the next incarnation.
        number = self.addresses[action.entry]
        self.packets.append(Packet(number, agent.name, False, results))

    def _acknowledge(self, entry: Entry, packet: Packet) -> None:
        attempts = tuple(
            report.attempt
            for report in packet.message.reports
            if report.outcome is not core.Outcome.RUNNING
        )
        message = core.Acknowledge(entry.incarnation, attempts)
        self.packets.append(
            attrs.evolve(packet, to_agent=True, message=message)
        )

    def _handle_at_agent(
        self, agent: Agent, message: object
    ) -> list[core.ExecutorAction]:
        match message:
            case core.Dispatch():
                return agent.executor.dispatch(message, self.now)
            case core.Withdraw():
                return agent.executor.withdraw(message, self.now)
            case core.Acknowledge():
                agent.executor.acknowledge(message.entry, message.attempts)
        return []
