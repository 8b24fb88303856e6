"""Runs at a target that runs tasks under leases, without sockets.

The target keeps every run for a limited time, the lease, which the agent
renews for all of them together by watching the target. The target lists what
runs and what has ended; ends stay listed until they are acknowledged. Times
on the target's clock are whole milliseconds.
"""

import datetime
import enum

import attrs

from cowslipgate_core import _charts
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.messages import _messages

CLOCK_SLACK = datetime.timedelta(milliseconds=100)
"""Added to a lease until it counts as lapsed: a target's clock may be 2%
slow, and the agent's view of it lags by the way of one answer."""

WATCH_SHARE = 0.35
"""Share of the lease that one watch waits for an end, so that two watches
may be lost before the lease lapses."""

MILLISECOND = datetime.timedelta(milliseconds=1)


class RunEnd(enum.StrEnum):
    """How a run ended, as its target lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class StartReply(enum.StrEnum):
    """How a target answered an order to start a run."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    OUTRANKED = "outranked"
    REPLACED = "replaced"
    INVALID = "invalid"


@attrs.frozen
class RunName:
    """Names a run at a target."""

    task: str
    """Name of the task."""

    run: int
    """Number of the run."""


@attrs.frozen
class ListedEnd:
    """A run that has ended and is not acknowledged."""

    number: int
    """Number of the end, rising by one in each life of the target."""

    name: RunName
    """The run."""

    end: RunEnd
    """How it ended."""


@attrs.frozen
class Listing:
    """What a target says of its runs."""

    life: int
    """When the target started, in its own Unix milliseconds."""

    clock_ms: int
    """The target's clock when it made the listing."""

    running: tuple[RunName, ...]
    """Runs at work."""

    ended: tuple[ListedEnd, ...]
    """Ends that are not acknowledged, in the order of their numbers."""


@attrs.frozen
class Outranked:
    """A target's answer to a watch: it knows a higher fencing token."""

    clock_ms: int
    """The target's clock."""


@attrs.frozen
class Replaced:
    """A target's answer to a watch: it is another than the one meant."""


WatchReply = Listing | Outranked | Replaced


@attrs.frozen
class CallWatch:
    """RunAction: renew the lease, acknowledge ends, and ask for a listing."""

    fence: int
    """Fencing token; zero before the first contact."""

    acknowledged: int
    """Highest number of an end that was taken in."""

    lease_end_ms: int
    """End of the lease on the target's clock; zero renews nothing."""

    wait_ms: int
    """Time that the target may wait for an end."""

    instance: str
    """Target that is meant, or empty for whoever answers."""


@attrs.frozen
class CallStart:
    """RunAction: start a run."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    name: RunName
    """The run."""

    payload: bytes
    """JSON payload of the task."""

    fence: int
    """Fencing token."""

    lease_end_ms: int
    """When the order expires and the lease ends, on the target's clock."""

    instance: str
    """Target that is meant."""


@attrs.frozen
class CallStop:
    """RunAction: stop a run, or keep it from starting."""

    name: RunName
    """The run."""

    fence: int
    """Fencing token."""

    instance: str
    """Target that is meant."""


@attrs.frozen
class EndRun:
    """RunAction: tell the executor how a run ended."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    outcome: _messages.Outcome
    """What became of it."""

    reason: _messages.Reason
    """Why, when it did not finish."""

    run_ms: float
    """Time since the order to start it, in milliseconds."""


RunAction = CallWatch | CallStart | CallStop | EndRun


@attrs.define(eq=False)
class _Run:
    """A run that was ordered and has not ended for certain."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    name: RunName
    """The run."""

    ordered_at: datetime.datetime
    """When the order left."""

    lease_end_ms: int
    """When the order expires, on the target's clock."""

    machine: _charts.Machine
    """State, as in ``charts/run.toml``."""

    certain_from: datetime.datetime | None = None
    """Listings asked for later tell for certain whether it runs."""


_ENDS = {
    RunEnd.DONE: (_messages.Outcome.FINISHED, _messages.Reason.NONE),
    RunEnd.FAILED: (_messages.Outcome.FAILED, _messages.Reason.TARGET_STATUS),
    RunEnd.STOPPED: (_messages.Outcome.STOPPED, _messages.Reason.WITHDRAWN),
    RunEnd.LAPSED: (_messages.Outcome.LOST, _messages.Reason.LEASE_LAPSED),
    RunEnd.BROKEN: (_messages.Outcome.LOST, _messages.Reason.GROUP_BROKEN),
}

_REFUSALS = {
    StartReply.REFUSED: _messages.Reason.BUSY,
    StartReply.UNHEALTHY: _messages.Reason.TARGET_STATUS,
    StartReply.OUTRANKED: _messages.Reason.BUSY,
    StartReply.REPLACED: _messages.Reason.TARGET_REPLACED,
}


class RunBook:
    """The runs of one agent at its target, one life of the target at a time.

    :param lease: longest time that the target keeps runs unrenewed
    """

    def __init__(self, lease: datetime.timedelta) -> None:
        self._lease = lease
        self._chart = _charts.load_chart("run")
        self._runs: dict[RunName, _Run] = {}
        self._instance = ""
        self._life = 0
        self._fence = 0
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at: datetime.datetime | None = None
        self._unacknowledged = False
        self._strangers: set[RunName] = set()
        self.safe_at: datetime.datetime | None = None

    @property
    def instance(self) -> str:
        """Target that is meant, empty before its first heartbeat."""
        return self._instance

    @property
    def settled(self) -> bool:
        """Whether every run at the target is known."""
        return self._clock_at is not None and not self._strangers

    @property
    def needs_watch(self) -> bool:
        """Whether the target has to be watched now."""
        if self._clock_at is None:
            return True
        return bool(self._runs or self._strangers or self._unacknowledged)

    def __len__(self) -> int:
        return len(self._runs)

    def hear_target(
        self, instance: str, life: int, now: datetime.datetime
    ) -> list[RunAction]:
        """Take in which target, and which life of it, is beside the agent."""
        actions: list[RunAction] = []
        if self._instance and instance != self._instance:
            actions = self._change_life(life, now)
        elif self._life and life > self._life:
            actions = self._change_life(life, now)
        self._instance = instance
        return actions

    def is_outdated(self, life: int) -> bool:
        """Tell whether a life of the target is over, by its start."""
        return 0 < life < self._life

    def watch(self, now: datetime.datetime) -> CallWatch:
        """Return the next watch."""
        first = self._clock_at is None
        lasting = bool(self._runs)
        wait = self._lease * WATCH_SHARE // MILLISECOND if lasting else 0
        return CallWatch(
            self._fence,
            self._cursor,
            self._extend(now) if lasting and not first else 0,
            wait,
            self._instance,
        )

    def start(
        self,
        key: _executor_actions.AttemptKey,
        order: _messages.Order,
        now: datetime.datetime,
    ) -> list[RunAction]:
        """Order a run; call it only while the book is settled."""
        name = RunName(order.name, order.run)
        until = self._extend(now)
        machine = _charts.Machine(self._chart)
        self._runs[name] = _Run(key, name, now, until, machine)
        return [
            CallStart(
                key, name, order.payload, self._fence, until, self._instance
            )
        ]

    def stop(
        self, key: _executor_actions.AttemptKey, now: datetime.datetime
    ) -> list[RunAction]:
        """Stop a run."""
        return [
            self._stop(run) for run in self._runs.values() if run.key == key
        ]

    def hear_start(
        self,
        name: RunName,
        reply: StartReply,
        clock_ms: int,
        now: datetime.datetime,
    ) -> list[RunAction]:
        """Take in how the target answered an order."""
        self._learn_clock(clock_ms, now)
        run = self._runs.get(name)
        if run is None:
            return []
        if reply is StartReply.ACCEPTED:
            run.machine.fire("accept")
            run.certain_from = run.certain_from or now
            return []
        if reply is StartReply.OUTRANKED:
            self._outrank()
        if reply is StartReply.INVALID:
            run.machine.fire("end")
            return [self._end(run, _INVALID, now)]
        run.machine.fire("refuse")
        if not run.machine.final:
            return []
        outcome = (_messages.Outcome.NOT_STARTED, _REFUSALS[reply])
        return [self._end(run, outcome, now)]

    def miss_start(
        self, name: RunName, sent: bool, now: datetime.datetime
    ) -> list[RunAction]:
        """Take in that an order was not answered.

        :param sent: whether any byte of it may have left
        """
        run = self._runs.get(name)
        if run is None:
            return []
        if not sent:
            run.machine.fire("clear")
            return [self._end(run, _UNREACHABLE, now)]
        run.machine.fire("miss")
        return [self._stop(run)] if run.machine.state == "unanswered" else []

    def hear_stop(self, name: RunName, now: datetime.datetime) -> None:
        """Take in that the target has taken an order to stop."""
        run = self._runs.get(name)
        if run is not None and run.machine.state == "stopping":
            run.certain_from = now

    def miss_stop(
        self, name: RunName, now: datetime.datetime
    ) -> list[RunAction]:
        """Take in that the target has not taken an order to stop."""
        run = self._runs.get(name)
        return [self._stop(run)] if run is not None else []

    def hear_listing(
        self,
        listing: Listing,
        asked_at: datetime.datetime,
        now: datetime.datetime,
    ) -> list[RunAction]:
        """Take in what runs and what has ended.

        :param asked_at: when the listing was asked for
        """
        actions: list[RunAction] = []
        if listing.life < self._life:
            return actions
        if listing.life > self._life:
            if self._life:
                actions.extend(self._change_life(listing.life, now))
            self._life = listing.life
        if self._clock_at is None:
            self._fence = max(self._fence, listing.clock_ms)
        self._learn_clock(listing.clock_ms, now)
        self._unacknowledged = bool(listing.ended)
        for ended in listing.ended:
            actions.extend(self._take_end(ended, now))
        running = set(listing.running)
        for run in list(self._runs.values()):
            if run.name not in running:
                actions.extend(self._judge_absent(run, listing, asked_at, now))
        self._strangers = running - self._runs.keys()
        actions.extend(
            CallStop(name, self._fence, self._instance)
            for name in sorted(self._strangers, key=str)
        )
        return actions

    def hear_outranked(self, clock_ms: int, now: datetime.datetime) -> None:
        """Take in that the target knows a higher fencing token."""
        self._fence = max(self._fence, clock_ms)
        self._outrank()

    def lose_target(
        self, reason: _messages.Reason, now: datetime.datetime
    ) -> list[RunAction]:
        """Take in that nothing runs at the target any more."""
        actions: list[RunAction] = []
        for run in list(self._runs.values()):
            run.machine.fire("end")
            outcome = (_messages.Outcome.LOST, reason)
            actions.append(self._end(run, outcome, now))
        self._strangers.clear()
        return actions

    def has_lapsed(self, now: datetime.datetime) -> bool:
        """Tell whether every lease has ended, whatever the target heard."""
        return self.safe_at is None or now >= self.safe_at

    def read_clock(self, now: datetime.datetime) -> int:
        """Return the target's clock as it is now, at the earliest."""
        if self._clock_at is None:
            return self._clock_ms
        return self._clock_ms + (now - self._clock_at) // MILLISECOND

    def _extend(self, now: datetime.datetime) -> int:
        self.safe_at = now + self._lease + CLOCK_SLACK
        return self.read_clock(now) + self._lease // MILLISECOND

    def _learn_clock(self, clock_ms: int, now: datetime.datetime) -> None:
        if clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now

    def _outrank(self) -> None:
        # Twice as much outranks every token of an earlier life soon.
        self._fence = 2 * self._fence + 1

    def _change_life(
        self, life: int, now: datetime.datetime
    ) -> list[RunAction]:
        actions = self.lose_target(_messages.Reason.TARGET_REPLACED, now)
        self._life = life
        self._fence = 0
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at = None
        self._unacknowledged = False
        return actions

    def _stop(self, run: _Run) -> CallStop:
        run.machine.fire("stop")
        run.certain_from = None
        return CallStop(run.name, self._fence, self._instance)

    def _take_end(
        self, ended: ListedEnd, now: datetime.datetime
    ) -> list[RunAction]:
        if ended.number <= self._cursor:
            return []
        self._cursor = ended.number
        run = self._runs.get(ended.name)
        if run is None:
            return []
        run.machine.fire("end")
        return [self._end(run, _ENDS[ended.end], now)]

    def _judge_absent(
        self,
        run: _Run,
        listing: Listing,
        asked_at: datetime.datetime,
        now: datetime.datetime,
    ) -> list[RunAction]:
        expired = listing.clock_ms > run.lease_end_ms
        certain = run.certain_from is not None and asked_at > run.certain_from
        if not (expired or certain):
            return []
        never = run.machine.state in ("starting", "unanswered")
        run.machine.fire("clear")
        if never:
            outcome = (_messages.Outcome.NOT_STARTED, _messages.Reason.BUSY)
        else:
            outcome = (
                _messages.Outcome.LOST,
                _messages.Reason.TARGET_REPLACED,
            )
        return [self._end(run, outcome, now)]

    def _end(
        self,
        run: _Run,
        outcome: tuple[_messages.Outcome, _messages.Reason],
        now: datetime.datetime,
    ) -> EndRun:
        del self._runs[run.name]
        return EndRun(run.key, *outcome, (now - run.ordered_at) / MILLISECOND)


_INVALID = (_messages.Outcome.FAILED, _messages.Reason.MALFORMED_RESULT)
_UNREACHABLE = (
    _messages.Outcome.NOT_STARTED,
    _messages.Reason.TARGET_UNREACHABLE,
)
