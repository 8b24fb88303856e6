"""Runs at a target that runs tasks under leases, without sockets.

The target keeps every run for a limited time, the lease, which the agent
renews for all of them together by watching the target. The target lists what
runs and what has ended; ends stay listed until they are acknowledged. Times
on the target's clock are whole milliseconds.
"""

import datetime

import attrs

from cowslipgate_core import _charts
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _run_records
from cowslipgate_core.messages import _attempts

CLOCK_SLACK = datetime.timedelta(milliseconds=100)
"""Added to a lease until it counts as lapsed: a target's clock may be 2%
slow, and the agent's view of it lags by the way of one answer."""

WATCH_SHARE = 0.35
"""Share of the lease that one watch waits for an end, so that two watches
may be lost before the lease lapses."""

MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class _Run:
    """A run that was ordered and has not ended for certain."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    name: _run_records.RunName
    """The run."""

    ordered_at: datetime.datetime
    """When the order left."""

    lease_end_ms: int
    """When the order expires, on the target's clock."""

    machine: _charts.Machine
    """State, as in ``charts/run.toml``."""

    checkpoint: str = ""
    """Latest checkpoint that is known, or empty."""

    certain_from: datetime.datetime | None = None
    """Listings asked for later tell for certain whether it runs."""


_ENDS = {
    _run_records.RunEnd.DONE: (
        _attempts.Outcome.FINISHED,
        _attempts.Reason.NONE,
    ),
    _run_records.RunEnd.FAILED: (
        _attempts.Outcome.FAILED,
        _attempts.Reason.TARGET_STATUS,
    ),
    _run_records.RunEnd.STOPPED: (
        _attempts.Outcome.STOPPED,
        _attempts.Reason.WITHDRAWN,
    ),
    _run_records.RunEnd.LAPSED: (
        _attempts.Outcome.LOST,
        _attempts.Reason.LEASE_LAPSED,
    ),
    _run_records.RunEnd.BROKEN: (
        _attempts.Outcome.LOST,
        _attempts.Reason.GROUP_BROKEN,
    ),
}

_REFUSALS = {
    _run_records.StartReply.REFUSED: _attempts.Reason.BUSY,
    _run_records.StartReply.UNHEALTHY: _attempts.Reason.TARGET_STATUS,
    _run_records.StartReply.OUTRANKED: _attempts.Reason.OUTRANKED,
    _run_records.StartReply.REPLACED: _attempts.Reason.TARGET_REPLACED,
}


class RunBook:
    """The runs of one agent at its target, one life of the target at a time.

    :param lease: longest time that the target keeps runs unrenewed
    """

    def __init__(self, lease: datetime.timedelta) -> None:
        self._lease = lease
        self._chart = _charts.load_chart("run")
        self._runs: dict[_run_records.RunName, _Run] = {}
        self._instance = ""
        self._life = 0
        self._fence = 0
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at: datetime.datetime | None = None
        self._listed_ms = 0
        self._unacknowledged = False
        self._strangers: set[_run_records.RunName] = set()
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
    ) -> list[_run_records.RunAction]:
        """Take in which target, and which life of it, is beside the agent."""
        actions: list[_run_records.RunAction] = []
        if self._instance and instance != self._instance:
            # Orders name their target, so another one runs none of them.
            actions = self.lose_target(_REPLACED, now)
            self._begin_life(life)
            self._fence = 0
        elif self._life and life > self._life:
            self._begin_life(life)
            actions = self._stop_uncertain()
        self._instance = instance
        return actions

    def is_outdated(self, life: int) -> bool:
        """Tell whether a life of the target is over, by its start."""
        return 0 < life < self._life

    def watch(self, now: datetime.datetime) -> _run_records.CallWatch:
        """Return the next watch."""
        first = self._clock_at is None
        lasting = bool(self._runs)
        wait = self._lease * WATCH_SHARE // MILLISECOND if lasting else 0
        return _run_records.CallWatch(
            self._fence,
            self._cursor,
            self._extend(now) if lasting and not first else 0,
            wait,
            self._instance,
        )

    def start(
        self,
        key: _executor_actions.AttemptKey,
        order: _attempts.Order,
        now: datetime.datetime,
    ) -> list[_run_records.RunAction]:
        """Order a run; call it only while the book is settled."""
        name = _run_records.RunName(order.name, order.run)
        until = self._extend(now)
        machine = _charts.Machine(self._chart)
        self._runs[name] = _Run(
            key, name, now, until, machine, order.checkpoint
        )
        return [
            _run_records.CallStart(
                key,
                name,
                order.payload,
                self._fence,
                until,
                self._instance,
                order.checkpoint,
            )
        ]

    def stop(
        self, key: _executor_actions.AttemptKey, now: datetime.datetime
    ) -> list[_run_records.RunAction]:
        """Stop a run."""
        return [
            self._stop(run) for run in self._runs.values() if run.key == key
        ]

    def hear_start(
        self,
        name: _run_records.RunName,
        reply: _run_records.StartReply,
        clock_ms: int,
        now: datetime.datetime,
    ) -> list[_run_records.RunAction]:
        """Take in how the target answered an order."""
        self._learn_clock(clock_ms, now)
        run = self._runs.get(name)
        if run is None:
            return []
        if reply is _run_records.StartReply.ACCEPTED:
            run.machine.fire("accept")
            run.certain_from = run.certain_from or now
            return []
        if reply is _run_records.StartReply.OUTRANKED:
            self._outrank()
        if reply is _run_records.StartReply.INVALID:
            run.machine.fire("end")
            return [self._end(run, _INVALID, now)]
        run.machine.fire("refuse")
        if not run.machine.final:
            return []
        outcome = (_attempts.Outcome.NOT_STARTED, _REFUSALS[reply])
        return [self._end(run, outcome, now)]

    def miss_start(
        self, name: _run_records.RunName, sent: bool, now: datetime.datetime
    ) -> list[_run_records.RunAction]:
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

    def hear_stop(
        self, name: _run_records.RunName, now: datetime.datetime
    ) -> None:
        """Take in that the target has taken an order to stop."""
        run = self._runs.get(name)
        if run is not None and run.machine.state == "stopping":
            run.certain_from = now

    def miss_stop(
        self, name: _run_records.RunName, now: datetime.datetime
    ) -> list[_run_records.RunAction]:
        """Take in that the target has not taken an order to stop."""
        run = self._runs.get(name)
        return [self._stop(run)] if run is not None else []

    def hear_listing(
        self,
        listing: _run_records.Listing,
        asked_at: datetime.datetime,
        now: datetime.datetime,
    ) -> list[_run_records.RunAction]:
        """Take in what runs and what has ended.

        :param asked_at: when the listing was asked for
        """
        actions: list[_run_records.RunAction] = []
        if listing.life < self._life:
            return actions
        if self._life and listing.life > self._life:
            self._begin_life(listing.life)
            actions.extend(self._stop_uncertain())
        self._life = listing.life
        if listing.clock_ms < self._listed_ms:
            # Answers to watches may overtake each other.
            return actions
        self._listed_ms = listing.clock_ms
        if self._clock_at is None:
            self._fence = max(self._fence, listing.clock_ms)
        self._learn_clock(listing.clock_ms, now)
        self._unacknowledged = bool(listing.ended)
        for ended in listing.ended:
            actions.extend(self._take_end(ended, now))
        for name, checkpoint in listing.checkpoints.items():
            if name in self._runs:
                self._runs[name].checkpoint = checkpoint
        running = set(listing.running)
        for run in list(self._runs.values()):
            if run.name not in running:
                actions.extend(self._judge_absent(run, listing, asked_at, now))
        self._strangers = running - self._runs.keys()
        actions.extend(
            _run_records.CallStop(name, self._fence, self._instance)
            for name in sorted(self._strangers, key=str)
        )
        return actions

    def hear_outranked(self, clock_ms: int, now: datetime.datetime) -> None:
        """Take in that the target knows a higher fencing token."""
        self._fence = max(self._fence, clock_ms)
        self._outrank()

    def lose_target(
        self, reason: _attempts.Reason, now: datetime.datetime
    ) -> list[_run_records.RunAction]:
        """Take in that nothing runs at the target any more."""
        actions: list[_run_records.RunAction] = []
        for run in list(self._runs.values()):
            run.machine.fire("end")
            outcome = (_attempts.Outcome.LOST, reason)
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

    def _begin_life(self, life: int) -> None:
        # An order that left before the rebirth was heard of may be taken by
        # the new life, so its listings alone tell which runs are over. The
        # token stays: the new life may have seen it.
        self._life = life
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at = None
        self._listed_ms = 0
        self._unacknowledged = False

    def _stop_uncertain(self) -> list[_run_records.RunAction]:
        # A stop that the former life has taken bars nothing any more.
        return [
            self._stop(run)
            for run in self._runs.values()
            if run.machine.state in ("unanswered", "stopping")
        ]

    def _stop(self, run: _Run) -> _run_records.CallStop:
        run.machine.fire("stop")
        run.certain_from = None
        return _run_records.CallStop(run.name, self._fence, self._instance)

    def _take_end(
        self, ended: _run_records.ListedEnd, now: datetime.datetime
    ) -> list[_run_records.RunAction]:
        if ended.number <= self._cursor:
            return []
        self._cursor = ended.number
        run = self._runs.get(ended.name)
        if run is None:
            return []
        run.checkpoint = ended.checkpoint or run.checkpoint
        run.machine.fire("end")
        return [self._end(run, _ENDS[ended.end], now)]

    def _judge_absent(
        self,
        run: _Run,
        listing: _run_records.Listing,
        asked_at: datetime.datetime,
        now: datetime.datetime,
    ) -> list[_run_records.RunAction]:
        expired = listing.clock_ms > run.lease_end_ms
        certain = run.certain_from is not None and asked_at > run.certain_from
        if not (expired or certain):
            return []
        never = run.machine.state in ("starting", "unanswered")
        run.machine.fire("clear")
        if never:
            outcome = (_attempts.Outcome.NOT_STARTED, _attempts.Reason.BUSY)
        else:
            outcome = (
                _attempts.Outcome.LOST,
                _attempts.Reason.TARGET_REPLACED,
            )
        return [self._end(run, outcome, now)]

    def _end(
        self,
        run: _Run,
        outcome: tuple[_attempts.Outcome, _attempts.Reason],
        now: datetime.datetime,
    ) -> _run_records.EndRun:
        del self._runs[run.name]
        run_ms = (now - run.ordered_at) / MILLISECOND
        return _run_records.EndRun(run.key, *outcome, run_ms, run.checkpoint)


_REPLACED = _attempts.Reason.TARGET_REPLACED
_INVALID = (_attempts.Outcome.FAILED, _attempts.Reason.MALFORMED_RESULT)
_UNREACHABLE = (
    _attempts.Outcome.NOT_STARTED,
    _attempts.Reason.TARGET_UNREACHABLE,
)
