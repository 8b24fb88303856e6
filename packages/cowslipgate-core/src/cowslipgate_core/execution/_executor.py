"""Execution of attempts at one agent, without sockets.

The executor handles messages and returns the actions that follow. It starts
an attempt at most once and keeps its outcome until acknowledged.
"""

from collections.abc import Collection, Iterable
import datetime

import attrs
import msgspec

from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _outcomes
from cowslipgate_core.execution import _pauses
from cowslipgate_core.execution import _sessions
from cowslipgate_core.execution import _slots
from cowslipgate_core.execution import _successions
from cowslipgate_core.execution import _target_state
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _resources

DROPPED_LIFETIME = datetime.timedelta(seconds=2)
"""Time that outcomes are kept for an entry that was dropped and is idle."""

ENTRY_LOST_AFTER = datetime.timedelta(seconds=20)
"""Time without a confirmation after which an entry counts as lost."""

PAUSE_FRACTION = 0.25
"""Share of ``entry_lost_after``; a longer pause refuses the whole queue if the
executor is given no other limit."""

MAX_COLD_MS = 86_400_000
"""Longest time for which a target may be cold, in milliseconds: the longest
interval that a report may name."""

_NO_USE = _resources.Resources()


@attrs.define
class ExecutorCounters:
    """Counts of events since the executor was created."""

    started: int = 0
    """Attempts handed to the target."""

    duplicates: int = 0
    """Attempts that were received more than once."""

    refused: int = 0
    """Attempts that were reported as not started."""

    dropped: int = 0
    """Outcomes dropped unacknowledged, for their number, age or lost entry."""

    pauses: int = 0
    """Pauses of the process that were long enough to refuse the queue."""


class Executor:
    """Sessions, queue and running tasks of one agent.

    :param pause_after: pause of the process after which orders that were sent
        before it are refused; by default a share of ``entry_lost_after``
    :param pause_limits: None to stop all runs after a pause that is longer
        than ``entry_lost_after``
    """

    def __init__(
        self,
        incarnation: int,
        queue_limit: int,
        entry_lost_after: datetime.timedelta = ENTRY_LOST_AFTER,
        pause_after: datetime.timedelta | None = None,
        pause_limits: _pauses.PauseLimits | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._queue_limit = queue_limit
        self._entry_lost_after = entry_lost_after
        self._pauses = _pauses.Pauses(
            pause_after or entry_lost_after * PAUSE_FRACTION, pause_limits
        )
        self._sessions = _sessions.Sessions()
        self._slots = _slots.Slots()
        self._outcomes = _outcomes.Outcomes()
        self._successions = _successions.Successions()
        self._target = _target_state.TargetState()
        self._links = 0
        self.required_sign: datetime.datetime | None = None
        """Oldest sign that an attempt which starts now may rest on, or None;
        the lease of the target ends too late for older ones."""
        self.configuration_version = 0
        self.cold_until: datetime.datetime | None = None
        """Time until which the target runs tasks slower, or None."""
        self.counters = ExecutorCounters()

    @property
    def state(self) -> str:
        """State of the target in ``charts/target.toml``."""
        return self._target.state

    @property
    def announcement(self) -> _executor_actions.Announcement | None:
        """Latest announcement of the target, or None before the first."""
        return self._target.announcement

    @property
    def links(self) -> int:
        """Highest link number issued; a pause renumbers every link."""
        return self._links

    @property
    def running(
        self,
    ) -> dict[_executor_actions.AttemptKey, _slots.HeldAttempt]:
        """Running attempts by key."""
        return self._slots.running

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, running or unacknowledged."""
        return not (len(self._slots) or len(self._outcomes))

    @property
    def slots(self) -> int:
        """Tasks that may run at once in the target's present state."""
        return self._target.slots

    def holds(self, entry: int) -> bool:
        """Return whether an entry has held attempts or kept outcomes."""
        return bool(self._slots.count(entry) or self._outcomes.count(entry))

    def count_own(self, entry: int) -> int:
        """Return the number of attempts held for an entry."""
        return self._slots.count(entry)

    def measure_load(self, entry: int) -> _resources.Load:
        """Return the load as reported to one entry."""
        own = self._slots.count(entry)
        others = len(self._slots) - own
        use = self._slots.measure_use(entry) if others else _NO_USE
        return _resources.Load(self.slots, own, others, use)

    def get_link(self, entry: int) -> int:
        """Return the number of the link to an entry, or zero."""
        session = self._sessions.get(entry)
        return session.link if session is not None else 0

    def confirm(
        self,
        entry: int,
        sent_at: datetime.datetime,
        lived_at: datetime.datetime | None = None,
        ages: Iterable[tuple[int, int]] | None = None,
    ) -> None:
        """Record that an entry has received a message of this agent.

        :param sent_at: time at which the message was sent; the entry was
            alive then or later
        :param lived_at: latest time before which the entry did not send the
            message that tells so; by default ``sent_at``
        :param ages: attempts and the ages in milliseconds of their callers'
            signs at that time, or None if the message lists none
        """
        session = self._sessions.get(entry)
        if session is None:
            return
        if session.confirmed_at is None or sent_at > session.confirmed_at:
            session.confirmed_at = sent_at
        lived_at = lived_at or sent_at
        session.signs.record_life(lived_at)
        if ages is not None:
            kept = {key.attempt for key in self._slots if key.entry == entry}
            session.signs.record_callers(
                lived_at, ages, kept | session.expected
            )

    def get_confirmed_at(self, entry: int) -> datetime.datetime | None:
        """Return when an entry was last known to be alive, or None."""
        session = self._sessions.get(entry)
        return session.confirmed_at if session is not None else None

    def expect(self, entry: int, attempts: Iterable[int]) -> None:
        """Record orders that will be dispatched here, perhaps after a wait.

        The lease of the target ends early enough for them from now on.
        """
        self._open_session(entry).expected.update(attempts)

    def supersede_runs(
        self, entry: int, orders: Iterable[_attempts.Order]
    ) -> list[_executor_actions.ExecutorAction]:
        """Stop the runs of tasks that are ordered again.

        Their callers have sent the jobs again, so nobody needs these runs.
        What becomes of the orders is not reported before the runs have ended.
        """
        session = self._open_session(entry)
        actions: list[_executor_actions.ExecutorAction] = []
        for order in orders:
            held = self._slots.find_run(order.name)
            if held is None or session.is_known(order.attempt):
                continue
            key = _executor_actions.AttemptKey(entry, order.attempt)
            self._successions.add(key, held.key)
            # A lower number is that of a delayed order, or of an entry whose
            # clock is behind: which one the caller waits for is not known.
            if held.order.run <= order.run:
                self.give_up(held.key.entry, (held.key.attempt,))
                actions += _request_stop(held, superseded_by=order.run)
        return actions

    def get_oldest_sign(self) -> datetime.datetime | None:
        """Return the time of the oldest sign that an attempt here rests on.

        For an attempt that was given up that is the last one before, since
        later ones show nothing about its caller.
        """
        signs = [self._get_sign(key) for key in self._slots]
        return min((at for at in signs if at is not None), default=None)

    def get_lease_sign(
        self, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return the time of the oldest sign that the lease has to rest on.

        That includes expected orders, unless no order may start any more that
        rests on so old a sign.
        """
        signs = [self.get_oldest_sign()]
        for _, session in self._sessions:
            for attempt in session.expected:
                sign = session.signs.get(attempt)
                if sign is not None and now - sign <= self._entry_lost_after:
                    signs.append(sign)
        return min((at for at in signs if at is not None), default=None)

    def get_needed_sign(self, entry: int) -> datetime.datetime | None:
        """Return the time of the oldest sign that an entry may renew."""
        session = self._sessions.get(entry)
        if session is None:
            return None
        signs = [
            self._get_sign(key)
            for key in self._slots
            if key.entry == entry and self._needs(key)
        ]
        signs += [session.signs.get(n) for n in session.expected]
        return min((at for at in signs if at is not None), default=None)

    def get_sign(
        self, entry: int, attempts: Iterable[int]
    ) -> datetime.datetime | None:
        """Return the time of the oldest sign that orders rest on, or None."""
        session = self._sessions.get(entry)
        if session is None:
            return None
        signs = [session.signs.get(attempt) for attempt in attempts]
        return min((at for at in signs if at is not None), default=None)

    def outlives_lease(self, sign: datetime.datetime) -> bool:
        """Return whether the target's lease ends in time for a sign."""
        return self.required_sign is None or sign >= self.required_sign

    def _needs(self, key: _executor_actions.AttemptKey) -> bool:
        held = self._slots.running.get(key)
        return held is None or held.needed_at is None

    def _get_sign(
        self, key: _executor_actions.AttemptKey
    ) -> datetime.datetime | None:
        held = self._slots.running.get(key)
        if held is not None and held.needed_at is not None:
            return held.needed_at
        session = self._sessions.get(key.entry)
        return session.signs.get(key.attempt) if session is not None else None

    def give_up(
        self, entry: int, attempts: Collection[int] | None = None
    ) -> None:
        """Record that an entry needs running attempts no more.

        To be called before later confirmations of the entry are recorded.

        :param attempts: numbers of the attempts, or None for all of the entry
        """
        for key, held in self._slots.running.items():
            if key.entry != entry or held.needed_at is not None:
                continue
            if attempts is None or key.attempt in attempts:
                held.needed_at = self._get_sign(key)

    def connect(self, entry: int) -> None:
        """Open a new link to an entry that was connected.

        Dispatches under the previous link are refused from now on. A dropped
        entry stays dropped until a message of it arrives.
        """
        self._links += 1
        session = self._sessions.get(entry) or self._open_session(entry)
        session.link = self._links
        session.connected = True
        session.broken = False

    def lose_connection(
        self, entry: int, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Record that the connection to an entry is known to be broken.

        Until it connects again it can confirm nothing, so that its runs whose
        signs are too old are stopped at once, also after a pause.
        """
        session = self._sessions.get(entry)
        if session is None:
            return []
        session.broken = True
        actions = self._handle_pause(now)
        return actions + self._stop_unseen(now)

    def announce(
        self,
        announcement: _executor_actions.Announcement,
        now: datetime.datetime,
    ) -> list[_executor_actions.ExecutorAction]:
        """Handle an announcement of the target."""
        actions = self._handle_pause(now)
        known = self._target.announcement
        self._target.announce(announcement, now)
        if known is not None and known != announcement:
            actions.extend(self._refuse_unfit(known, announcement, now))
        return actions + self._advance(now)

    @property
    def evacuated(self) -> bool:
        """Whether orders are refused because of an evacuation."""
        return self._target.evacuated

    def evacuate(
        self, evacuated: bool, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Refuse queued and new orders, or take orders again.

        Runs in progress are not affected.
        """
        self._target.evacuated = evacuated
        return self._advance(now)

    def measure_cold_ms(self, now: datetime.datetime) -> int:
        """Return the milliseconds for which the target is cold, or zero."""
        if self.cold_until is None:
            return 0
        left = (self.cold_until - now) // datetime.timedelta(milliseconds=1)
        return min(max(0, left), MAX_COLD_MS)

    def supersede(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Start nothing until the target's next announcement.

        The target is known to have changed since the present one.
        """
        self._target.supersede()
        return self._advance(now)

    def leave(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Stop taking work, because the target or the agent is leaving."""
        self._target.leave()
        return self._advance(now)

    def disconnect(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Start nothing until the target's next announcement.

        The target closed a connection without an answer or refused it.
        """
        self._target.disconnect()
        return self._advance(now)

    def dispatch(
        self, dispatch: _attempts.Dispatch, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Queue or refuse the attempts of a dispatch."""
        actions = self._handle_pause(now)
        session = self._open_session(dispatch.entry)
        self._outcomes.acknowledge(dispatch.entry, dispatch.acknowledged)
        self._record_version(dispatch.configuration_version)
        reports = []
        actions.extend(self.supersede_runs(dispatch.entry, dispatch.orders))
        for order in dispatch.orders:
            report = self._accept(session, order, dispatch, now)
            if report is not None:
                reports.append(report)
        actions.extend(self._send_reports(dispatch.entry, reports, now))
        return actions + self._advance(now)

    def withdraw(
        self, withdraw: _attempts.Withdraw, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Fence attempts that have not started and report the others."""
        actions = self._handle_pause(now)
        if withdraw.incarnation != self._incarnation:
            # An earlier incarnation may have started the attempts.
            return actions
        session = self._open_session(withdraw.entry)
        if withdraw.stop:
            self.give_up(withdraw.entry, withdraw.attempts)
        reports = []
        for attempt in withdraw.attempts:
            key = _executor_actions.AttemptKey(withdraw.entry, attempt)
            held = self._slots.running.get(key)
            if held is None:
                reports.append(self._fence(session, key))
                continue
            if withdraw.stop:
                held.stalled |= withdraw.stalled
                actions.extend(_request_stop(held))
            reports.append(
                _attempts.AttemptReport(attempt, _attempts.Outcome.RUNNING)
            )
        actions.extend(self._send_reports(withdraw.entry, reports, now))
        return actions + self._advance(now)

    def acknowledge(self, entry: int, attempts: tuple[int, ...]) -> None:
        """Forget the outcomes that an entry has received."""
        self._outcomes.acknowledge(entry, attempts)

    def handle_beat(self, beat: _reports.Beat) -> None:
        """Handle an entry's heartbeat."""
        session = self._sessions.get(beat.entry)
        if session is not None:
            session.dropped_at = None
        self._record_version(beat.configuration_version)
        self.acknowledge(beat.entry, beat.acknowledged)

    def end_task(
        self,
        key: _executor_actions.AttemptKey,
        report: _attempts.AttemptReport,
        now: datetime.datetime,
    ) -> list[_executor_actions.ExecutorAction]:
        """Record how a call of the target ended, and report it."""
        held = self._slots.running.pop(key)
        actions = self._handle_pause(now)
        if held.stopping and report.outcome is _attempts.Outcome.FAILED:
            report = attrs.evolve(report, outcome=_attempts.Outcome.STOPPED)
        waited = held.started_at - held.queued_at
        report = attrs.evolve(
            report, wait_ms=waited / datetime.timedelta(milliseconds=1)
        )
        self._target.record_call_end(report, held, now)
        actions.extend(self._send_reports(key.entry, [report], now))
        for entry, reports in self._successions.release(key).items():
            actions.extend(self._send_reports(entry, reports, now))
        return actions + self._advance(now)

    def drop_entry(
        self, entry: int, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        """Stop the attempts of an entry that is lost.

        Dispatches that the entry sent before and that arrive late are refused.
        """
        session = self._sessions.get(entry)
        if session is None:
            return []
        self._links += 1
        session.link = self._links
        session.connected = False
        session.dropped_at = now
        session.expected.clear()
        self.give_up(entry)
        keys = self._slots.withdraw_all(entry)
        reports = [
            self._refuse(key.attempt, _attempts.Reason.WITHDRAWN)
            for key in keys
        ]
        actions = self._send_reports(entry, reports, now)
        for key, held in self._slots.running.items():
            if key.entry == entry:
                actions.extend(_request_stop(held))
        return actions + self._advance(now)

    def tick(
        self, now: datetime.datetime, lapse_after: datetime.timedelta
    ) -> list[_executor_actions.ExecutorAction]:
        """Act on timeouts, and return outcomes that are due again.

        :param lapse_after: time without an announcement after which the
            target counts as absent
        """
        actions = self._handle_pause(now)
        actions.extend(self._stop_unseen(now))
        self._target.check(now, lapse_after)
        actions.extend(self._advance(now))
        self.counters.dropped += self._outcomes.expire(now)
        self._forget_dropped(now)
        return actions + self._outcomes.resend(now)

    def _handle_pause(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        # Entries may have counted this agent as lost during the pause, so
        # attempts received before it must not start.
        pause = self._pauses.measure(now)
        if pause is None:
            return []
        self.counters.pauses += 1
        self._links += 1
        actions = self._refuse_queued(_attempts.Reason.WITHDRAWN, now)
        for entry, session in self._sessions:
            session.link = self._links
            if pause <= self._entry_lost_after:
                continue
            if not self._may_be_confirmed(session, now - pause, now):
                actions.extend(self.drop_entry(entry, now))
        return actions

    def _stop_unseen(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        # The lease ends soon, and with it the runs of other callers.
        actions: list[_executor_actions.ExecutorAction] = []
        for key, held in self._slots.running.items():
            sign = self._get_sign(key)
            if sign is None or now - sign <= self._entry_lost_after:
                continue
            session = self._sessions.get(key.entry)
            if self._needs(key) and self._may_be_confirmed(session, sign, now):
                continue
            held.needed_at = sign
            actions.extend(_request_stop(held, now - sign))
        return actions

    def _may_be_confirmed(
        self,
        session: _sessions.Session | None,
        sign: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        if session is None or session.broken:
            return False
        return self._pauses.awaits_confirmation(
            sign, session.confirmed_at, self._entry_lost_after, now
        )

    def _open_session(self, entry: int) -> _sessions.Session:
        session = self._sessions.open(entry)
        session.dropped_at = None
        for surplus in self._sessions.find_surplus(self._slots.get_entries()):
            self._evict(surplus)
        return session

    def _forget_dropped(self, now: datetime.datetime) -> None:
        busy = self._slots.get_entries()
        for entry, session in self._sessions:
            dropped = session.dropped_at
            if dropped is None or entry in busy:
                continue
            if now - dropped <= DROPPED_LIFETIME:
                continue
            if session.connected:
                # Reports still name its link, which refuses older messages.
                self.counters.dropped += self._outcomes.forget_entry(entry)
            else:
                self._evict(entry)

    def _evict(self, entry: int) -> None:
        self.counters.dropped += self._outcomes.forget_entry(entry)
        self._sessions.evict(entry)

    def _record_version(self, version: int) -> None:
        self.configuration_version = max(self.configuration_version, version)

    def _accept(
        self,
        session: _sessions.Session,
        order: _attempts.Order,
        dispatch: _attempts.Dispatch,
        now: datetime.datetime,
    ) -> _attempts.AttemptReport | None:
        attempt = order.attempt
        key = _executor_actions.AttemptKey(dispatch.entry, attempt)
        session.expected.discard(attempt)
        if session.is_known(attempt):
            return self._answer_duplicate(session, key)
        session.remember(attempt)
        reason = self._find_refusal(session, dispatch)
        if reason is _attempts.Reason.NONE:
            reason = self._find_unseen(session, attempt, now)
        if reason is _attempts.Reason.NONE and key in self._successions:
            reason = _attempts.Reason.BUSY
        if reason is _attempts.Reason.NONE and not self._has_room(order):
            reason = _attempts.Reason.NO_ROOM
        if reason is not _attempts.Reason.NONE:
            return self._refuse(attempt, reason)
        self._slots.push(_slots.HeldAttempt(key, order, now))
        return None

    def _answer_duplicate(
        self,
        session: _sessions.Session,
        key: _executor_actions.AttemptKey,
    ) -> _attempts.AttemptReport | None:
        self.counters.duplicates += 1
        if key in self._slots:
            return None
        kept = self._outcomes.get(key.entry, key.attempt)
        if kept is None and key.attempt not in session.remembered:
            return _build_forgotten(key.attempt)
        return kept

    def _find_refusal(
        self, session: _sessions.Session, dispatch: _attempts.Dispatch
    ) -> _attempts.Reason:
        if dispatch.incarnation != self._incarnation:
            return _attempts.Reason.OTHER_INCARNATION
        if dispatch.link < session.link:
            return _attempts.Reason.STALE_LINK
        if dispatch.configuration_version < self.configuration_version:
            return _attempts.Reason.STALE_CONFIGURATION
        if self.slots == 0:
            return _attempts.Reason.NOT_SERVING
        if dispatch.service not in ("", self._target.service):
            return _attempts.Reason.NOT_SERVING
        if self._outcomes.full:
            return _attempts.Reason.BUSY
        if len(self._slots) >= self.slots + self._queue_limit:
            return _attempts.Reason.BUSY
        return _attempts.Reason.NONE

    def _find_unseen(
        self, session: _sessions.Session, attempt: int, now: datetime.datetime
    ) -> _attempts.Reason:
        sign = session.signs.get(attempt)
        if sign is None:
            return _attempts.Reason.NONE
        if now - sign > self._entry_lost_after:
            return _attempts.Reason.STALE_LINK
        if not self.outlives_lease(sign):
            return _attempts.Reason.BUSY
        return _attempts.Reason.NONE

    def _has_room(self, order: _attempts.Order) -> bool:
        if not self._target.covers(order.needs):
            # The entry chose the target by an earlier announcement.
            return False
        # Another target may start the task at once; here it would wait.
        room = self._target.room
        if room is msgspec.UNSET or self._slots.queued < self._queue_limit:
            return True
        return self._slots.covers(room, order.needs)

    def _refuse(
        self, attempt: int, reason: _attempts.Reason
    ) -> _attempts.AttemptReport:
        self.counters.refused += 1
        return _attempts.AttemptReport(
            attempt, _attempts.Outcome.NOT_STARTED, reason
        )

    def _fence(
        self,
        session: _sessions.Session,
        key: _executor_actions.AttemptKey,
    ) -> _attempts.AttemptReport:
        session.expected.discard(key.attempt)
        kept = self._outcomes.get(key.entry, key.attempt)
        if kept is not None:
            return kept
        if not self._slots.withdraw(key):
            if session.is_known(key.attempt):
                return _build_forgotten(key.attempt)
            session.remember(key.attempt)
        return self._refuse(key.attempt, _attempts.Reason.WITHDRAWN)

    def _send_reports(
        self,
        entry: int,
        reports: list[_attempts.AttemptReport],
        now: datetime.datetime,
    ) -> list[_executor_actions.ExecutorAction]:
        reports = self._successions.withhold(entry, reports)
        for report in reports:
            if report.outcome is _attempts.Outcome.RUNNING:
                continue
            if report.reason is _attempts.Reason.FORGOTTEN:
                continue
            refusal = report.outcome is _attempts.Outcome.NOT_STARTED
            if refusal and self._outcomes.full:
                self.counters.dropped += 1
                continue
            self._outcomes.keep(entry, report, now)
        if not reports:
            return []
        return [_executor_actions.SendReports(entry, tuple(reports))]

    def _advance(
        self, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        if self.slots == 0:
            return self._refuse_queued(_attempts.Reason.NOT_SERVING, now)
        actions: list[_executor_actions.ExecutorAction] = []
        address = self._target.address
        room = self._target.room
        while held := self._slots.start_next(self.slots, room, address, now):
            self.counters.started += 1
            actions.append(_executor_actions.StartTask(held.key, held.order))
        return actions

    def _refuse_unfit(
        self,
        known: _executor_actions.Announcement,
        announcement: _executor_actions.Announcement,
        now: datetime.datetime,
    ) -> list[_executor_actions.ExecutorAction]:
        if known.service != announcement.service:
            return self._refuse_queued(_attempts.Reason.NOT_SERVING, now)
        keys = self._slots.withdraw_unfit(self._target.covers)
        return self._refuse_keys(keys, _attempts.Reason.NO_ROOM, now)

    def _refuse_queued(
        self, reason: _attempts.Reason, now: datetime.datetime
    ) -> list[_executor_actions.ExecutorAction]:
        return self._refuse_keys(self._slots.withdraw_all(), reason, now)

    def _refuse_keys(
        self,
        keys: list[_executor_actions.AttemptKey],
        reason: _attempts.Reason,
        now: datetime.datetime,
    ) -> list[_executor_actions.ExecutorAction]:
        by_entry: dict[int, list[_attempts.AttemptReport]] = {}
        for key in keys:
            report = self._refuse(key.attempt, reason)
            by_entry.setdefault(key.entry, []).append(report)
        actions: list[_executor_actions.ExecutorAction] = []
        for entry, reports in by_entry.items():
            actions.extend(self._send_reports(entry, reports, now))
        return actions


def _request_stop(
    held: _slots.HeldAttempt,
    unseen_for: datetime.timedelta | None = None,
    superseded_by: int = 0,
) -> list[_executor_actions.ExecutorAction]:
    if held.stopping:
        return []
    held.stopping = True
    return [
        _executor_actions.StopTask(
            held.key, held.order.task, unseen_for, superseded_by
        )
    ]


def _build_forgotten(attempt: int) -> _attempts.AttemptReport:
    return _attempts.AttemptReport(
        attempt, _attempts.Outcome.UNKNOWN, _attempts.Reason.FORGOTTEN
    )
