"""The run book against a model target, with answers lost and orders late."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
from cowslipgate_core.tests import run_builders
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

STEPS_MS = strategies.integers(1, 400)
CHANCE = strategies.sampled_from(["answered", "lost", "late"])


class RunsMachine(stateful.RuleBasedStateMachine):
    """Orders runs; whatever was told to have ended runs no more, for ever."""

    def __init__(self) -> None:
        super().__init__()
        self.book = core.RunBook(run_builders.LEASE)
        self.target = run_builders.TargetModel()
        self.now = builders.NOW
        self.numbers = 0
        self.names: dict[int, core.RunName] = {}
        self.over: set[core.RunName] = set()
        self.late: list[core.RunAction] = []
        self.held: list[tuple[core.WatchReply, datetime.datetime]] = []
        self._watch("answered")

    @stateful.rule(milliseconds=STEPS_MS)
    def pass_time(self, milliseconds: int) -> None:
        """Let time pass for both."""
        self.now += datetime.timedelta(milliseconds=milliseconds)
        self.target.advance(milliseconds)
        if len(self.book) and self.book.has_lapsed(self.now):
            reason = core.Reason.LEASE_LAPSED
            self._perform(self.book.lose_target(reason, self.now), "answered")

    @stateful.rule(chance=CHANCE)
    def start(self, chance: str) -> None:
        """Order another run of the task."""
        if not self.book.settled:
            return
        self.numbers += 1
        order = run_builders.build_order(self.numbers, self.numbers)
        self.names[self.numbers] = core.RunName(order.name, order.run)
        key = core.AttemptKey(7, self.numbers)
        self._perform(self.book.start(key, order, self.now), chance)

    @stateful.rule(chance=CHANCE, data=strategies.data())
    def stop(self, chance: str, data: strategies.DataObject) -> None:
        """Stop one of the runs."""
        if self.numbers:
            number = data.draw(strategies.integers(1, self.numbers))
            key = core.AttemptKey(7, number)
            self._perform(self.book.stop(key, self.now), chance)

    @stateful.rule(chance=CHANCE)
    def watch(self, chance: str) -> None:
        """Watch the target."""
        self._watch(chance)

    @stateful.rule()
    def watch_slowly(self) -> None:
        """Watch the target by a call whose answer takes its time."""
        reply = self.target.watch(self.book.watch(self.now))
        self.held.append((reply, self.now))

    @stateful.rule(data=strategies.data())
    def hear_slow_watch(self, data: strategies.DataObject) -> None:
        """Take in an answer that others may have overtaken."""
        if not self.held:
            return
        positions = strategies.integers(0, len(self.held) - 1)
        reply, asked = self.held.pop(data.draw(positions))
        if isinstance(reply, core.Listing):
            actions = self.book.hear_listing(reply, asked, self.now)
            self._perform(actions, "answered")

    @stateful.rule(data=strategies.data())
    def finish(self, data: strategies.DataObject) -> None:
        """Let a run end by itself."""
        if self.target.running:
            names = sorted(self.target.running, key=str)
            name = data.draw(strategies.sampled_from(names))
            ends = [core.RunEnd.DONE, core.RunEnd.FAILED]
            how = data.draw(strategies.sampled_from(ends))
            self.target.end(name, how)

    @stateful.rule()
    def be_reborn(self) -> None:
        """Let the target begin another life before the book hears of it.

        Orders on their way to the former life end with its connections.
        """
        self.target.be_reborn()
        self.late.clear()

    @stateful.rule()
    def hear_beat(self) -> None:
        """Let a heartbeat of the present life come."""
        actions = self.book.hear_target("i-1", self.target.life, self.now)
        self._perform(actions, "answered")

    @stateful.rule()
    def carry_out_late(self) -> None:
        """Carry out an order that nobody waits for any more."""
        if self.late:
            self._carry_out(self.late.pop(0))

    @stateful.invariant()
    def check_nothing_over_runs(self) -> None:
        """What was told to have ended runs no more."""
        assert not self.over & self.target.running

    @stateful.invariant()
    def check_everything_running_is_known(self) -> None:
        """What runs is in the book, or its lease is about to lapse."""
        told = self.target.running - self.over
        assert len(told) <= len(self.book)

    def _watch(self, chance: str) -> None:
        call = self.book.watch(self.now)
        if chance == "late":
            self.late.append(call)
        if chance != "answered":
            if chance == "lost":
                self.target.watch(call)
            return
        reply = self.target.watch(call)
        if isinstance(reply, core.Outranked):
            self.book.hear_outranked(reply.clock_ms, self.now)
            return
        asked = self.now
        self.now += datetime.timedelta(milliseconds=1)
        actions = self.book.hear_listing(reply, asked, self.now)
        self._perform(actions, "answered")

    def _perform(self, actions: list[core.RunAction], chance: str) -> None:
        for action in actions:
            if isinstance(action, core.EndRun):
                self.over.add(self.names[action.key.attempt])
            elif chance == "late":
                self.late.append(action)
                self._miss(action)
            elif chance == "lost":
                self._carry_out(action)
                self._miss(action)
            else:
                self._answer(action)

    def _carry_out(self, action: core.RunAction) -> object:
        match action:
            case core.CallStart():
                return self.target.start(action)
            case core.CallStop():
                return self.target.stop(action)
            case core.CallWatch():
                return self.target.watch(action)
        return None

    def _answer(self, action: core.RunAction) -> None:
        reply = self._carry_out(action)
        self.now += datetime.timedelta(milliseconds=1)
        if isinstance(action, core.CallStart):
            clock = self.target.clock_ms
            actions = self.book.hear_start(action.name, reply, clock, self.now)
            self._perform(actions, "answered")
        elif isinstance(action, core.CallStop) and reply:
            self.book.hear_stop(action.name, self.now)

    def _miss(self, action: core.RunAction) -> None:
        if isinstance(action, core.CallStart):
            actions = self.book.miss_start(action.name, True, self.now)
            self._perform(actions, "late")


TestRunsMachine = RunsMachine.TestCase
TestRunsMachine.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
