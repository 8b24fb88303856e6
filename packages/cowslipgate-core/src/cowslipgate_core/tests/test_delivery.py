"""Model-based test of ledgers and executors over an unreliable network.

The checks rely only on starts seen by targets and answers given to callers.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import network
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

ENTRIES = 2
AGENTS = ("agent-0", "agent-1")
RECOVERY_ROUNDS = 200
RECOVERY_STEP = datetime.timedelta(milliseconds=500)
MAX_PACKETS = 60

_ENTRY = strategies.integers(0, ENTRIES - 1)
_AGENT = strategies.sampled_from(AGENTS)
_INDEX = strategies.integers(0, 10_000)
_SECONDS = strategies.sampled_from([0.05, 0.6, 1.5, 3.0, 30.0])
_OUTCOME = strategies.sampled_from(
    [
        core.Outcome.FINISHED,
        core.Outcome.FINISHED,
        core.Outcome.FAILED,
        core.Outcome.UNKNOWN,
    ]
)


class DeliveryMachine(stateful.RuleBasedStateMachine):
    """Random events of the network, the processes and the callers."""

    def __init__(self) -> None:
        super().__init__()
        self.world = network.Network()
        for number in range(ENTRIES):
            self.world.start_entry(number)
        for name in AGENTS:
            self.world.start_agent(name)
            for number in range(ENTRIES):
                self.world.report(name, number)
        self._deliver_all()

    @stateful.rule(number=_ENTRY, tasks=strategies.integers(1, 3))
    def submit(self, number: int, tasks: int) -> None:
        self.world.submit(number, tasks)
        self.world.assign(number)

    @stateful.rule(number=_ENTRY, tasks=strategies.integers(1, 3))
    def submit_and_start(self, number: int, tasks: int) -> None:
        self.world.submit(number, tasks)
        self.world.assign(number)
        self._deliver_all()
        for agent in self.world.agents.values():
            for start in list(agent.calls):
                self.world.call_target(agent, start)

    @stateful.rule(number=_ENTRY)
    def assign(self, number: int) -> None:
        self.world.assign(number)

    @stateful.rule(count=strategies.integers(1, 3), index=_INDEX)
    def deliver(self, count: int, index: int) -> None:
        for _ in range(count):
            packets = self.world.packets
            if packets:
                self.world.deliver(packets.pop(index % len(packets)))

    @stateful.rule()
    def deliver_all(self) -> None:
        self._deliver_all()

    @stateful.rule()
    def deliver_reversed(self) -> None:
        packets = self.world.packets
        for _ in range(len(packets)):
            self.world.deliver(packets.pop())

    @stateful.rule(index=_INDEX)
    def deliver_duplicate(self, index: int) -> None:
        packets = self.world.packets
        if packets and len(packets) < MAX_PACKETS:
            self.world.deliver(packets[index % len(packets)])

    @stateful.rule(index=_INDEX)
    def drop(self, index: int) -> None:
        packets = self.world.packets
        if packets:
            packets.pop(index % len(packets))

    @stateful.rule(name=_AGENT, index=_INDEX)
    def call_target(self, name: str, index: int) -> None:
        agent = self.world.agents[name]
        if agent.calls:
            start = agent.calls[index % len(agent.calls)]
            self.world.call_target(agent, start)

    @stateful.rule(name=_AGENT, index=_INDEX)
    def refuse_call(self, name: str, index: int) -> None:
        agent = self.world.agents[name]
        if agent.calls:
            start = agent.calls[index % len(agent.calls)]
            self.world.refuse_call(agent, start)

    @stateful.rule(name=_AGENT, index=_INDEX, outcome=_OUTCOME)
    def end_task(self, name: str, index: int, outcome: core.Outcome) -> None:
        agent = self.world.agents[name]
        if agent.running:
            start = agent.running[index % len(agent.running)]
            self.world.end_task(agent, start, outcome)

    @stateful.rule(name=_AGENT, number=_ENTRY)
    def report(self, name: str, number: int) -> None:
        self.world.report(name, number)

    @stateful.rule(name=_AGENT, number=_ENTRY)
    def reset_link(self, name: str, number: int) -> None:
        self.world.reset_link(name, number)

    @stateful.rule(name=_AGENT, number=_ENTRY)
    def drop_entry(self, name: str, number: int) -> None:
        agent = self.world.agents[name]
        entry = self.world.entries[number].incarnation
        actions = agent.executor.drop_entry(entry, self.world.now)
        self.world.perform_agent(agent, actions)

    @stateful.rule(name=_AGENT)
    def restart_agent(self, name: str) -> None:
        self.world.start_agent(name)

    @stateful.rule(number=_ENTRY)
    def restart_entry(self, number: int) -> None:
        self.world.start_entry(number)

    @stateful.rule(number=_ENTRY, index=_INDEX)
    def cancel(self, number: int, index: int) -> None:
        entry = self.world.entries[number]
        jobs = list(entry.ledger.jobs.values())
        if jobs:
            job = jobs[index % len(jobs)]
            actions = entry.ledger.cancel(job, self.world.now)
            self.world.perform_entry(number, actions)

    @stateful.rule(seconds=_SECONDS)
    def wait(self, seconds: float) -> None:
        step = min(seconds, RECOVERY_STEP.total_seconds())
        for _ in range(int(seconds / step)):
            self.world.now += datetime.timedelta(seconds=step)
            self.world.tick()

    @stateful.rule(seconds=_SECONDS)
    def pause(self, seconds: float) -> None:
        self.world.now += datetime.timedelta(seconds=seconds)
        self.world.tick()

    @stateful.invariant()
    def no_task_starts_twice(self) -> None:
        repeated = {k: n for k, n in self.world.starts.items() if n > 1}
        assert not repeated

    @stateful.invariant()
    def waiting_tasks_are_counted(self) -> None:
        for entry in self.world.entries:
            jobs = entry.ledger.jobs.values()
            waiting = sum(len(job.waiting) for job in jobs)
            assert entry.ledger.count_waiting("print") == waiting
            assert entry.ledger.has_assignable_tasks == bool(waiting)

    @stateful.invariant()
    def pools_match_the_agent_records(self) -> None:
        for entry in self.world.entries:
            pool = entry.ledger.find_pool("print")
            for name, record in entry.ledger.agents.items():
                view = pool.get(name)
                others = view.occupied - len(record.outstanding)
                reported = record.load.others
                # Up to half of the reported load fades until the next report.
                assert (
                    round(reported * core.REPLACED_SHARE) <= others <= reported
                )
                assert view.slots == record.load.slots
                assert view.awaits_load == record.awaits_load

    @stateful.invariant()
    def answers_match_the_starts(self) -> None:
        for job, answers in self.world.answers.items():
            assert len(answers) <= 1, f"{job} was answered twice"
            if answers:
                self._check_answer(job, answers[0])

    def teardown(self) -> None:
        """Deliver all messages until every job is answered, then check."""
        for _ in range(RECOVERY_ROUNDS):
            self._recover_once()
            if not any(entry.ledger.jobs for entry in self.world.entries):
                break
        self.no_task_starts_twice()
        self.answers_match_the_starts()
        for entry in self.world.entries:
            assert not entry.ledger.jobs, "a job was never answered"

    def _recover_once(self) -> None:
        self.world.now += RECOVERY_STEP
        for name, agent in self.world.agents.items():
            for number in range(ENTRIES):
                self.world.report(name, number)
            for start in list(agent.calls):
                self.world.call_target(agent, start)
            for start in list(agent.running):
                self.world.end_task(agent, start, core.Outcome.FINISHED)
        self._deliver_all()
        self.world.tick()
        for number in range(ENTRIES):
            self.world.assign(number)
        self._deliver_all()

    def _deliver_all(self) -> None:
        while self.world.packets:
            self.world.deliver(self.world.packets.pop(0))

    def _check_answer(self, job: str, answer: core.JobAnswer) -> None:
        tokens = [f'"{job}/{n}"' for n in range(self.world.sizes[job])]
        starts = sum(self.world.starts[token] for token in tokens)
        if answer.failure is None:
            assert [r.decode() for r in answer.results] == tokens
            assert starts == len(tokens)
        elif answer.started is core.Started.NONE:
            assert starts == 0, f"{job} was answered as not started, but ran"
        elif answer.started is core.Started.SOME:
            assert starts > 0, f"{job} never started"


DeliveryMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    phases=(Phase.generate, Phase.shrink),
    stateful_step_count=50,
    suppress_health_check=(HealthCheck.too_slow,),
)
TestDelivery = DeliveryMachine.TestCase
