"""Model test of the run tracker, with lost replies and late orders."""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import run_builders
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

STEPS_MS = strategies.integers(1, 400)
PAUSES_MS = strategies.integers(400, 4_000)
DELIVERY = strategies.sampled_from(["answered", "lost", "late"])


class RunsMachine(stateful.RuleBasedStateMachine):
    """Orders runs and checks that a run reported as ended stays inactive."""

    def __init__(self) -> None:
        super().__init__()
        self.tracker = core.RunTracker(run_builders.LEASE)
        self.target = run_builders.TargetModel()
        self.now = run_builders.NOW
        self.numbers = 0
        self.names: dict[int, core.RunName] = {}
        self.ended: set[core.RunName] = set()
        self.late: list[core.RunAction] = []
        self.delayed: list[tuple[core.WatchReply, datetime.timedelta]] = []
        self._watch("answered")

    @stateful.rule(milliseconds=STEPS_MS)
    def pass_time(self, milliseconds: int) -> None:
        """Advance the clocks of the agent and the target."""
        self.now += datetime.timedelta(milliseconds=milliseconds)
        self.target.advance(milliseconds)
        if len(self.tracker) and self.tracker.has_expired(self.now):
            self._perform(self.tracker.end_lapsed_runs(self.now), "answered")

    @stateful.rule(milliseconds=PAUSES_MS, target_paused=strategies.booleans())
    def pause(self, milliseconds: int, target_paused: bool) -> None:
        """Let the agent stand still, perhaps with its target."""
        pause = datetime.timedelta(milliseconds=milliseconds)
        self.now += pause
        if not target_paused:
            self.target.advance(milliseconds)
        self.tracker.handle_pause(pause, self.now)
        self.pass_time(1)

    @stateful.rule(delivery=DELIVERY)
    def start(self, delivery: str) -> None:
        """Order another run of the task."""
        if not self.tracker.runs_known:
            return
        self.numbers += 1
        order = run_builders.build_order(self.numbers, self.numbers)
        self.names[self.numbers] = core.RunName(order.name, order.run)
        key = core.AttemptKey(7, self.numbers)
        self._perform(self.tracker.start(key, order, self.now), delivery)

    @stateful.rule(delivery=DELIVERY, data=strategies.data())
    def stop(self, delivery: str, data: strategies.DataObject) -> None:
        """Stop one of the runs."""
        if self.numbers:
            number = data.draw(strategies.integers(1, self.numbers))
            key = core.AttemptKey(7, number)
            self._perform(self.tracker.stop(key, self.now), delivery)

    @stateful.rule(delivery=DELIVERY)
    def watch(self, delivery: str) -> None:
        """Watch the target."""
        self._watch(delivery)

    @stateful.rule()
    def send_slow_watch(self) -> None:
        """Watch the target and delay its reply."""
        reply = self.target.watch(self.tracker.watch(self.now))
        self.delayed.append((reply, self.now))

    @stateful.rule(data=strategies.data())
    def deliver_slow_watch(self, data: strategies.DataObject) -> None:
        """Deliver a delayed reply, possibly out of order."""
        if not self.delayed:
            return
        positions = strategies.integers(0, len(self.delayed) - 1)
        reply, asked = self.delayed.pop(data.draw(positions))
        if isinstance(reply, core.Listing):
            actions = self.tracker.handle_listing(reply, asked, self.now)
            self._perform(actions, "answered")

    @stateful.rule(data=strategies.data())
    def finish(self, data: strategies.DataObject) -> None:
        """End a run as finished or failed."""
        if self.target.running:
            names = sorted(self.target.running, key=str)
            name = data.draw(strategies.sampled_from(names))
            ends = [core.RunEnd.DONE, core.RunEnd.FAILED]
            how = data.draw(strategies.sampled_from(ends))
            self.target.end(name, how)

    @stateful.rule(reached=strategies.booleans())
    def restart(self, reached: bool) -> None:
        """Restart the target without a heartbeat to the tracker.

        Orders in transit to the old incarnation end with its connections, or
        arrive after the agent has reached the next one.
        """
        self.target.restart()
        if reached:
            for _ in range(2):
                self._watch("answered")
        else:
            self.late.clear()

    @stateful.rule()
    def deliver_heartbeat(self) -> None:
        """Deliver a heartbeat of the current incarnation."""
        actions = self.tracker.handle_heartbeat(
            "i-1", self.target.incarnation, self.now
        )
        self._perform(actions, "answered")

    @stateful.rule()
    def carry_out_late(self) -> None:
        """Carry out a late order, whose reply is discarded."""
        if self.late:
            self._carry_out(self.late.pop(0))

    @stateful.invariant()
    def check_no_ended_run_is_active(self) -> None:
        """No run that was reported as ended is active."""
        assert not self.ended & self.target.running

    @stateful.invariant()
    def check_active_runs_are_in_the_book(self) -> None:
        """Active runs that were not reported as ended are in the tracker."""
        active = self.target.running - self.ended
        assert len(active) <= len(self.tracker)

    def _watch(self, delivery: str) -> None:
        call = self.tracker.watch(self.now)
        if delivery == "late":
            self.late.append(call)
        if delivery != "answered":
            if delivery == "lost":
                self.target.watch(call)
            return
        reply = self.target.watch(call)
        if isinstance(reply, core.StaleToken):
            self.tracker.handle_stale_token(reply.clock_ms, self.now)
            return
        asked = self.now
        self.now += datetime.timedelta(milliseconds=1)
        actions = self.tracker.handle_listing(reply, asked, self.now)
        self._perform(actions, "answered")

    def _perform(self, actions: list[core.RunAction], delivery: str) -> None:
        for action in actions:
            if isinstance(action, core.EndRun):
                self.ended.add(self.names[action.key.attempt])
            elif delivery == "late":
                self.late.append(action)
                self._miss(action)
            elif delivery == "lost":
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
            actions = self.tracker.handle_start_reply(
                action.name, reply, clock, self.now
            )
            self._perform(actions, "answered")
        elif isinstance(action, core.CallStop) and reply:
            self.tracker.handle_stop_reply(action.name, self.now)

    def _miss(self, action: core.RunAction) -> None:
        if isinstance(action, core.CallStart):
            actions = self.tracker.handle_start_failure(
                action.name, True, self.now
            )
            self._perform(actions, "late")


TestRunsMachine = RunsMachine.TestCase
TestRunsMachine.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
