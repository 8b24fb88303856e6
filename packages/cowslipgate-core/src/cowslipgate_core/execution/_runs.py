"""Runs at a target that runs tasks under leases, without sockets.

The target keeps every run for a limited time, the lease, which each watch of
the agent renews for all runs. The target lists its active and its ended runs;
ends stay listed until they are acknowledged. Times on the target's clock are
whole milliseconds.

All other times here are steady ones. A target stands still with the VM that it
shares with the agent, and so does the clock by which it ends leases.
"""

import datetime

import attrs

from cowslipgate_core import _charts
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _run_records
from cowslipgate_core.messages import _attempts

CLOCK_SLACK = datetime.timedelta(milliseconds=100)
"""Added to a lease before it counts as expired: a target's clock may run 2%
slow, and the agent's estimate of it lags by the transit of one answer."""

WATCH_SHARE = 0.35
"""Share of the lease that one watch waits for a run to end, so that two
watches may be lost before the lease expires."""

SLOWEST_RATE = 0.98
"""Least rate of a target's clock."""

MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class _Run:
    """A run that was ordered and is not known to have ended."""

    key: _executor_actions.AttemptKey
    """The attempt."""

    name: _run_records.RunName
    """The run."""

    ordered_at: datetime.timedelta
    """Time at which the order was sent."""

    lease_end_ms: int
    """Time on the target's clock at which the order expires."""

    incarnation: int
    """Incarnation of the target that was known then."""

    fence: int
    """Fencing token of the order."""

    clock_ms: int
    """Earliest time that the target's clock could show then."""

    machine: _charts.StateMachine
    """State in ``charts/run.toml``."""

    checkpoint: str = ""
    """Latest checkpoint that is known, or empty."""

    conclusive_after: datetime.timedelta | None = None
    """Time of the target's answer to the start or stop, or None. A listing
    requested later shows for certain whether the run is active."""

    started: bool = False
    """Whether the target is known to have started it."""

    stopped_at: datetime.timedelta | None = None
    """When an order to stop it was first sent, or None."""


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
    _run_records.StartReply.STALE_TOKEN: _attempts.Reason.STALE_TOKEN,
    _run_records.StartReply.REPLACED: _attempts.Reason.TARGET_REPLACED,
}


class RunTracker:
    """The runs of one agent at the current incarnation of its target.

    :param lease: longest time that the target keeps runs without renewal
    :param renewal: longest lease to ask for; by default ``lease``
    """

    def __init__(
        self,
        lease: datetime.timedelta,
        renewal: datetime.timedelta | None = None,
    ) -> None:
        self._lease = lease
        self._renewal = renewal or lease
        self._chart = _charts.load_chart("run")
        self._runs: dict[_run_records.RunName, _Run] = {}
        self._instance = ""
        self._incarnation = 0
        self._incarnation_at: datetime.timedelta | None = None
        # One that is known to have ended, though it is higher.
        self._ended_incarnation = 0
        self._fence = 0
        self._fence_set_at: datetime.timedelta | None = None
        self._fenced = False
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at: datetime.timedelta | None = None
        self._listed_ms = 0
        self._unacknowledged = False
        self._unexpected: set[_run_records.RunName] = set()
        self._hidden_runs_end_at: datetime.timedelta | None = None
        # When a list became due, or None.
        self._list_after: datetime.timedelta | None = None
        # Whether nothing may start until a list.
        self._unlisted = False
        # When the target's clock was seen to begin anew, until its next list.
        self._reset_at: datetime.timedelta | None = None
        self.leases_expire_at: datetime.timedelta | None = None
        self.leased_until: datetime.timedelta | None = None
        """Latest end that was asked for or that a reborn target may have
        granted, or None; leases never shorten."""

    @property
    def instance(self) -> str:
        """Id of the target, empty before its first heartbeat."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """Start of the target's newest known incarnation; zero if unknown."""
        return self._incarnation

    @property
    def fence(self) -> int:
        """Present fencing token; zero before the first contact."""
        return self._fence

    @property
    def runs_known(self) -> bool:
        """Whether all runs at the target were ordered by this process.

        The target has listed its runs after it had seen the fencing token, so
        that no late order of an earlier process starts another one.
        """
        return (
            self._clock_at is not None
            and self._fenced
            and not self._unexpected
            and self._hidden_runs_end_at is None
            and not self._unlisted
        )

    @property
    def needs_watch(self) -> bool:
        """Whether runs, ended runs or a missing listing need a watch."""
        if self._clock_at is None or not self._fenced:
            return True
        return bool(
            self._runs
            or self._unexpected
            or self._unacknowledged
            or self._hidden_runs_end_at
            or self._list_after is not None
        )

    def __len__(self) -> int:
        return len(self._runs)

    def handle_heartbeat(
        self,
        instance: str,
        incarnation: int,
        now: datetime.timedelta,
        clock_ms: int = 0,
    ) -> list[_run_records.RunAction]:
        """Handle a heartbeat of the target beside the agent.

        :param incarnation: start of the target, in its own Unix milliseconds
        :param clock_ms: its clock when it sent the heartbeat, zero if unknown
        """
        actions: list[_run_records.RunAction] = []
        if self._instance and instance != self._instance:
            # Orders name their target, so a replacement runs none of them.
            actions = self.end_all_runs(_REPLACED, now)
            self._begin_incarnation(incarnation, now)
            self._fence = 0
            self._fence_set_at = None
            self._fenced = False
        elif self._incarnation and incarnation > self._incarnation:
            self._begin_incarnation(incarnation, now)
            actions = self._stop_unconfirmed(now)
        self._instance = instance
        if self._unlisted and self._list_after is None:
            self._list_after = now
        self._raise_clock(clock_ms, now)
        return actions

    def is_outdated(self, incarnation: int) -> bool:
        """Return whether another incarnation of the target is present.

        A lower one may be present all the same if the time of day was set
        back; a list that is asked for after its heartbeat tells.
        """
        if incarnation and incarnation == self._ended_incarnation:
            return True
        return 0 < incarnation < self._incarnation

    def ask_for_list(self, now: datetime.timedelta) -> None:
        """Let nothing start until a list that is asked for from now on."""
        self._list_after = now
        self._unlisted = True

    def watch(
        self,
        now: datetime.timedelta,
        limit: datetime.timedelta | None = None,
    ) -> _run_records.CallWatch:
        """Return the next watch; it renews the lease if there are runs.

        :param limit: latest end of the lease, or None for no limit
        """
        first_contact = self._clock_at is None
        has_runs = bool(self._runs)
        may_wait = has_runs and self._list_after is None
        wait = self._lease * WATCH_SHARE // MILLISECOND if may_wait else 0
        return _run_records.CallWatch(
            self._fence,
            self._cursor,
            self._renew_lease(now, self._limit_lease(limit))
            if has_runs and not first_contact
            else 0,
            wait,
            self._instance,
        )

    def start(
        self,
        key: _executor_actions.AttemptKey,
        order: _attempts.Order,
        now: datetime.timedelta,
        limit: datetime.timedelta | None = None,
    ) -> list[_run_records.RunAction]:
        """Order a run; to be called only while ``runs_known``.

        :param limit: latest end of the lease, or None for no limit; the
            target refuses an order whose lease has ended
        """
        name = _run_records.RunName(order.name, order.run)
        until = self._extend_lease(now, self._limit_lease(limit))
        machine = _charts.StateMachine(self._chart)
        self._runs[name] = _Run(
            key,
            name,
            now,
            until,
            self._incarnation,
            self._fence,
            self.read_clock(now),
            machine,
            order.checkpoint,
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
        self, key: _executor_actions.AttemptKey, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """Stop the run of an attempt, if there is one."""
        return [
            self._stop(run, now)
            for run in self._runs.values()
            if run.key == key
        ]

    def handle_start_reply(
        self,
        name: _run_records.RunName,
        reply: _run_records.StartReply,
        clock_ms: int,
        now: datetime.timedelta,
    ) -> list[_run_records.RunAction]:
        """Handle the target's reply to a start order."""
        run = self._runs.get(name)
        if run is None:
            return []
        if self.is_clock_reset(run.incarnation, run.clock_ms, clock_ms):
            self.handle_clock_reset(now)
        elif (
            self._clock_at is not None and run.incarnation == self._incarnation
        ):
            # Only a listing tells whose clock the first reading is.
            self._record_clock(clock_ms, now)
        if reply is _run_records.StartReply.ACCEPTED:
            run.machine.fire("accept")
            run.started = True
            run.conclusive_after = run.conclusive_after or now
            return []
        if (
            reply is _run_records.StartReply.STALE_TOKEN
            and run.fence == self._fence
        ):
            self._raise_fence()
        if reply is _run_records.StartReply.INVALID:
            run.machine.fire("end")
            return [self._end(run, _INVALID, now)]
        run.machine.fire("refuse")
        if not run.machine.final:
            return []
        outcome = (_attempts.Outcome.NOT_STARTED, _REFUSALS[reply])
        return [self._end(run, outcome, now)]

    def handle_start_failure(
        self, name: _run_records.RunName, sent: bool, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """Handle a start order that got no reply.

        :param sent: whether any byte of the order may have been sent
        """
        run = self._runs.get(name)
        if run is None:
            return []
        if not sent:
            run.machine.fire("clear")
            return [self._end(run, _UNREACHABLE, now)]
        run.machine.fire("miss")
        if run.machine.state != "unanswered":
            return []
        return [self._stop(run, now)]

    def handle_stop_reply(
        self, name: _run_records.RunName, now: datetime.timedelta
    ) -> None:
        """Record that the target accepted a stop order."""
        run = self._runs.get(name)
        if run is not None and run.machine.state == "stopping":
            run.conclusive_after = now

    def handle_stop_failure(
        self, name: _run_records.RunName, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """Repeat a stop order that the target did not accept."""
        run = self._runs.get(name)
        return [self._stop(run, now)] if run is not None else []

    def handle_listing(
        self,
        listing: _run_records.Listing,
        asked_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[_run_records.RunAction]:
        """Handle a listing of active and ended runs.

        :param asked_at: time at which the listing was requested
        """
        actions: list[_run_records.RunAction] = []
        if listing.incarnation < self._incarnation:
            if asked_at <= self._incarnation_at:
                return actions
            # Whoever answers now is present: the time of day was set back.
            self._ended_incarnation = self._incarnation
        elif listing.incarnation == self._ended_incarnation:
            return actions
        if not self._incarnation:
            self._set_incarnation(listing.incarnation, now)
        elif listing.incarnation != self._incarnation:
            self._begin_incarnation(listing.incarnation, now)
            actions.extend(self._stop_unconfirmed(now))
        if self._reset_at is not None and asked_at < self._reset_at:
            # It is of the life before the clock began anew.
            return actions
        self._reset_at = None
        if listing.clock_ms < self._listed_ms:
            # Replies to watches may arrive out of order.
            return actions
        self._listed_ms = listing.clock_ms
        if self._list_after is not None and asked_at >= self._list_after:
            self._list_after = None
            self._unlisted = False
        self._expect_hidden_runs(listing, now)
        if self._fence_set_at is None:
            self._fence = max(self._fence, listing.clock_ms)
            self._fence_set_at = now
        elif asked_at >= self._fence_set_at:
            self._fenced = True
        self._record_clock(listing.clock_ms, now)
        self._unacknowledged = bool(listing.ended)
        for ended in listing.ended:
            actions.extend(self._handle_end(ended, now))
        for name, checkpoint in listing.checkpoints.items():
            if name in self._runs:
                self._runs[name].checkpoint = checkpoint
        running = set(listing.running)
        for run in list(self._runs.values()):
            if run.name in running:
                run.started = True
            elif listing.complete:
                actions.extend(
                    self._resolve_absent(run, listing, asked_at, now)
                )
        self._unexpected = running - self._runs.keys()
        actions.extend(
            _run_records.CallStop(name, self._fence, self._instance)
            for name in sorted(self._unexpected, key=str)
        )
        return actions

    def handle_stale_token(
        self, clock_ms: int, now: datetime.timedelta
    ) -> None:
        """Raise the fencing token after the target refused it as stale."""
        self._fence = max(self._fence, clock_ms)
        self._raise_fence()

    def handle_pause(
        self, pause: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Handle a pause of this process, in which the target may have paused.

        Leases may end later by the pause, and a list that is asked for now
        shows which runs go on.

        :param pause: steady time between two readings of the clock
        """
        if self.leases_expire_at is not None:
            self.leases_expire_at += pause
        if self.leased_until is not None:
            self.leased_until += pause
        if self._clock_at is not None:
            self._clock_at += pause
        if self._hidden_runs_end_at is not None:
            self._hidden_runs_end_at += pause
        self._list_after = now

    def is_clock_reset(
        self, incarnation: int, earliest_ms: int, clock_ms: int
    ) -> bool:
        """Return whether an answer shows that the target's clock began anew.

        :param incarnation: the one that was known when the call was sent
        :param earliest_ms: earliest time that its clock could show then
        :param clock_ms: its clock in the answer, or zero if there is none
        """
        present = incarnation == self._incarnation
        return present and 0 < clock_ms < earliest_ms

    def handle_clock_reset(self, now: datetime.timedelta) -> None:
        """Handle an answer after which the target's clock has begun anew.

        The target is in a new life, of which nothing else is known. Nothing
        may start until a list that is asked for from now on.
        """
        self._clock_ms = 0
        self._clock_at = None
        self._reset_at = now
        self.ask_for_list(now)

    def end_lapsed_runs(
        self, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """End every run as lost, since the target let each lease expire.

        A target that answers again may have stood still and run them on, so
        nothing may start until a list that is asked for from now on.
        """
        actions = self.end_all_runs(_attempts.Reason.LEASE_LAPSED, now)
        self.ask_for_list(now)
        return actions

    def handle_refusal(
        self, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """End every run, since the target's address refuses connections.

        Whoever opens it again is in a new life, or has not ended. Nothing may
        start until a list that is asked for after its next heartbeat.
        """
        self._list_after = None
        self._unlisted = True
        return self.end_all_runs(_attempts.Reason.TARGET_UNREACHABLE, now)

    def end_all_runs(
        self, reason: _attempts.Reason, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        """End every run as lost, since none is active at the target."""
        actions: list[_run_records.RunAction] = []
        for run in list(self._runs.values()):
            run.machine.fire("end")
            outcome = (_attempts.Outcome.LOST, reason)
            actions.append(self._end(run, outcome, now))
        self._unexpected.clear()
        return actions

    def has_expired(self, now: datetime.timedelta) -> bool:
        """Return whether every lease expired, even if each renewal arrived.

        That holds for a target that ran while this process did.
        """
        return self.leases_expire_at is None or now >= self.leases_expire_at

    def read_clock(self, now: datetime.timedelta) -> int:
        """Return the earliest time that the target's clock can show now."""
        if self._clock_at is None:
            return self._clock_ms
        elapsed = (now - self._clock_at) * SLOWEST_RATE
        return self._clock_ms + elapsed // MILLISECOND

    def _limit_lease(
        self, limit: datetime.timedelta | None
    ) -> datetime.timedelta | None:
        # Orders to stop may get lost or be carried out seconds later. Without
        # a renewal the run ends as soon as if the agent had died.
        ends = [
            run.stopped_at + self._lease
            for run in self._runs.values()
            if run.started and run.stopped_at is not None
        ]
        return min(ends if limit is None else [*ends, limit], default=None)

    def _renew_lease(
        self, now: datetime.timedelta, limit: datetime.timedelta | None
    ) -> int:
        if limit is not None and limit <= now:
            return 0
        return self._extend_lease(now, limit)

    def _extend_lease(
        self, now: datetime.timedelta, limit: datetime.timedelta | None
    ) -> int:
        end = now + self._renewal
        if limit is not None:
            end = min(end, limit)
        self.leased_until = max(end, self.leased_until or end)
        # A target that was reborn unnoticed reads the end by another clock and
        # grants a whole lease.
        self.leases_expire_at = now + self._lease + CLOCK_SLACK
        return max(1, self.read_clock(now) + (end - now) // MILLISECOND)

    def _record_clock(self, clock_ms: int, now: datetime.timedelta) -> None:
        if clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = now

    def _expect_hidden_runs(
        self, listing: _run_records.Listing, now: datetime.timedelta
    ) -> None:
        # A row that cannot be read may be a run of an earlier agent. It ends
        # with its lease, as watches renew nothing while no run is ordered.
        ends_at = self._hidden_runs_end_at
        if listing.complete or (ends_at is not None and now >= ends_at):
            self._hidden_runs_end_at = None
        elif self._clock_at is None:
            self._hidden_runs_end_at = now + self._lease + CLOCK_SLACK

    def _raise_clock(self, clock_ms: int, now: datetime.timedelta) -> None:
        if self._clock_at is None:
            return
        # A heartbeat may have been delayed; no target's clock is fast.
        latest = self._clock_ms + (now - self._clock_at) // MILLISECOND
        if clock_ms > self.read_clock(now):
            self._record_clock(min(clock_ms, latest), now)

    def _raise_fence(self) -> None:
        # Doubling soon exceeds every token of an earlier incarnation.
        self._fence = 2 * self._fence + 1

    def _set_incarnation(
        self, incarnation: int, now: datetime.timedelta
    ) -> None:
        self._incarnation = incarnation
        self._incarnation_at = now

    def _begin_incarnation(
        self, incarnation: int, now: datetime.timedelta
    ) -> None:
        # An order sent before the restart was known may have reached the new
        # incarnation, so only its listings show which runs have ended. Once
        # it has seen a higher token, it refuses those that arrive late.
        if self._fence_set_at is not None:
            self._fence += 1
            self._fence_set_at = now
            self._fenced = False
        self._set_incarnation(incarnation, now)
        self._cursor = 0
        self._clock_ms = 0
        self._clock_at = None
        self._reset_at = None
        self._listed_ms = 0
        self._unacknowledged = False
        if self.leased_until is not None and not self.has_expired(now):
            # It read the ends that were asked for by another clock.
            self.leased_until = max(self.leased_until, now + self._lease)

    def _stop_unconfirmed(
        self, now: datetime.timedelta
    ) -> list[_run_records.RunAction]:
        # A stop that the previous incarnation accepted has no effect now.
        return [
            self._stop(run, now)
            for run in self._runs.values()
            if run.machine.state in ("unanswered", "stopping")
        ]

    def _stop(
        self, run: _Run, now: datetime.timedelta
    ) -> _run_records.CallStop:
        run.machine.fire("stop")
        run.stopped_at = run.stopped_at or now
        run.conclusive_after = None
        return _run_records.CallStop(run.name, self._fence, self._instance)

    def _handle_end(
        self, ended: _run_records.ListedEnd, now: datetime.timedelta
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

    def _resolve_absent(
        self,
        run: _Run,
        listing: _run_records.Listing,
        asked_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> list[_run_records.RunAction]:
        expired = listing.clock_ms > run.lease_end_ms
        certain = (
            run.conclusive_after is not None
            and asked_at > run.conclusive_after
        )
        if not (expired or certain):
            return []
        never_started = run.machine.state in ("starting", "unanswered")
        run.machine.fire("clear")
        if never_started:
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
        now: datetime.timedelta,
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
