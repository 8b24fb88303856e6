"""The attempts that one agent holds, without sockets.

The executor is told what arrived and returns the actions that follow. It
starts an attempt at most once and keeps its outcome until acknowledged.
"""

import collections
import datetime

import attrs

from cowslipgate_core import _charts
from cowslipgate_core import _health
from cowslipgate_core import _messages

MAX_REMEMBERED = 4_096
MAX_SESSIONS = 256
MAX_UNACKNOWLEDGED = 10_000
RESEND_AFTER = datetime.timedelta(milliseconds=1800)


@attrs.frozen
class AttemptKey:
    """Names an attempt over all entries."""

    entry: int
    """Incarnation of the entry."""

    attempt: int
    """Sequence number at the entry."""


@attrs.frozen
class Announcement:
    """What a target announces of itself."""

    service: str
    """Service that the target belongs to."""

    address: str
    """Address of the target, ``http://host:port``."""

    slots: int
    """Tasks that may run at once."""

    connections: int
    """Connections that may be open."""

    resources: _messages.Resources = _messages.Resources()
    """What one task may use."""


@attrs.frozen
class StartTask:
    """ExecutorAction: call the target."""

    key: AttemptKey
    """The attempt."""

    order: _messages.Order
    """What to run."""


@attrs.frozen
class StopTask:
    """ExecutorAction: tell the target to stop a task."""

    key: AttemptKey
    """The attempt."""

    task: str
    """Id of the task at the target."""


@attrs.frozen
class SendReports:
    """ExecutorAction: tell an entry the outcomes of attempts."""

    entry: int
    """Incarnation of the entry."""

    reports: tuple[_messages.AttemptReport, ...]
    """The outcomes."""


ExecutorAction = StartTask | StopTask | SendReports


@attrs.define(eq=False)
class Held:
    """An attempt that is queued or running."""

    key: AttemptKey
    """The attempt."""

    order: _messages.Order
    """What to run."""

    queued_at: datetime.datetime
    """When it arrived."""

    started_at: datetime.datetime | None = None
    """When the target was called, or None while queued."""

    stopping: bool = False
    """Whether the target was told to stop it."""


@attrs.define(eq=False)
class Kept:
    """An outcome that the entry has not acknowledged."""

    report: _messages.AttemptReport
    """The outcome."""

    sent_at: datetime.datetime
    """When it was last sent."""


@attrs.define(eq=False)
class Session:
    """What the agent remembers of one entry incarnation."""

    watermark: int = 0
    """Attempts up to this number are no longer told apart."""

    remembered: dict[int, None] = attrs.Factory(dict)
    """Attempts above the watermark that were accepted or fenced."""

    kept: dict[int, Kept] = attrs.Factory(dict)
    """Unacknowledged outcomes by attempt."""


@attrs.define
class ExecutorCounters:
    """What the executor has counted."""

    started: int = 0
    """Tasks for which the target was called."""

    duplicates: int = 0
    """Attempts that arrived again."""

    refused: int = 0
    """Attempts that were not started."""

    dropped: int = 0
    """Outcomes dropped because too many were unacknowledged."""


class Executor:
    """Sessions, queue and running tasks of one agent."""

    def __init__(self, incarnation: int, queue_limit: int) -> None:
        self._incarnation = incarnation
        self._queue_limit = queue_limit
        self._sessions: dict[int, Session] = {}
        self._queue: collections.OrderedDict[AttemptKey, Held] = (
            collections.OrderedDict()
        )
        self._running: dict[AttemptKey, Held] = {}
        self._machine = _charts.Machine(_charts.load_chart("target"))
        self._health = _health.FailureWindow()
        self.announcement: Announcement | None = None
        self.announced_at: datetime.datetime | None = None
        self.configuration_version = 0
        self.counters = ExecutorCounters()

    @property
    def state(self) -> str:
        """State of the target."""
        return self._machine.state

    @property
    def running(self) -> dict[AttemptKey, Held]:
        """Running attempts."""
        return self._running

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, running or unacknowledged."""
        kept = any(session.kept for session in self._sessions.values())
        return not (self._queue or self._running or kept)

    @property
    def slots(self) -> int:
        """Slots open to work now."""
        if self.announcement is None:
            return 0
        match self._machine.get_attribute("slots"):
            case "all":
                return self.announcement.slots
            case "one":
                return 1
        return 0

    def measure_load(self, entry: int) -> _messages.Load:
        """Return the load as one entry is told of it."""
        held = [*self._queue, *self._running]
        own = sum(1 for key in held if key.entry == entry)
        return _messages.Load(self.slots, own, len(held) - own)

    def announce(
        self, announcement: Announcement, now: datetime.datetime
    ) -> list[ExecutorAction]:
        """Take in the target's announcement."""
        self.announcement = announcement
        self.announced_at = now
        self._machine.fire("announce")
        return self._start_queued(now)

    def leave(self, now: datetime.datetime) -> list[ExecutorAction]:
        """Take in that the target or the agent is leaving."""
        self._machine.fire("leave")
        return self._refuse_queued(now)

    def dispatch(
        self, dispatch: _messages.Dispatch, now: datetime.datetime
    ) -> list[ExecutorAction]:
        """Take in new attempts."""
        session = self._open_session(dispatch.entry)
        self._drop_acknowledged(session, dispatch.acknowledged)
        self._learn_version(dispatch.configuration_version)
        reports = []
        for order in dispatch.orders:
            key = AttemptKey(dispatch.entry, order.attempt)
            report = self._accept(session, key, order, dispatch, now)
            if report is not None:
                reports.append(report)
        actions = self._keep(dispatch.entry, reports, now)
        return actions + self._start_queued(now)

    def withdraw(
        self, withdraw: _messages.Withdraw, now: datetime.datetime
    ) -> list[ExecutorAction]:
        """Fence attempts that have not started and tell of the others."""
        if withdraw.incarnation != self._incarnation:
            # An earlier incarnation may have started them.
            return []
        session = self._open_session(withdraw.entry)
        reports = []
        actions: list[ExecutorAction] = []
        for attempt in withdraw.attempts:
            key = AttemptKey(withdraw.entry, attempt)
            held = self._running.get(key)
            if held is None:
                reports.append(self._fence(session, key, now))
                continue
            if withdraw.stop and not held.stopping:
                held.stopping = True
                actions.append(StopTask(key, held.order.task))
            reports.append(
                _messages.AttemptReport(attempt, _messages.Outcome.RUNNING)
            )
        actions.extend(self._keep(withdraw.entry, reports, now))
        return actions + self._start_queued(now)

    def acknowledge(self, entry: int, attempts: tuple[int, ...]) -> None:
        """Forget the outcomes that an entry has received."""
        session = self._sessions.get(entry)
        if session is not None:
            self._drop_acknowledged(session, attempts)

    def hear_beat(self, beat: _messages.Beat) -> None:
        """Take in an entry's heartbeat."""
        self._learn_version(beat.configuration_version)
        self.acknowledge(beat.entry, beat.acknowledged)

    def end_task(
        self,
        key: AttemptKey,
        report: _messages.AttemptReport,
        now: datetime.datetime,
    ) -> list[ExecutorAction]:
        """Take in how a call of the target ended."""
        held = self._running.pop(key)
        if held.stopping and report.outcome is _messages.Outcome.FAILED:
            report = attrs.evolve(report, outcome=_messages.Outcome.STOPPED)
        waited = held.started_at - held.queued_at
        report = attrs.evolve(
            report, wait_ms=waited / datetime.timedelta(milliseconds=1)
        )
        self._judge_health(report, held, now)
        actions = self._keep(key.entry, [report], now)
        return actions + self._start_queued(now)

    def drop_entry(
        self, entry: int, now: datetime.datetime
    ) -> list[ExecutorAction]:
        """Stop what nobody waits for, because an entry is gone."""
        reports = []
        for key in [key for key in self._queue if key.entry == entry]:
            del self._queue[key]
            reports.append(
                self._refuse(key.attempt, _messages.Reason.WITHDRAWN)
            )
        actions = self._keep(entry, reports, now)
        for key, held in self._running.items():
            if key.entry == entry and not held.stopping:
                held.stopping = True
                actions.append(StopTask(key, held.order.task))
        return actions + self._start_queued(now)

    def tick(
        self, now: datetime.datetime, lapse_after: datetime.timedelta
    ) -> list[ExecutorAction]:
        """Act on everything that time alone brings about.

        :param lapse_after: silence after which a target counts as absent
        """
        actions: list[ExecutorAction] = []
        announced = self.announced_at
        if announced is not None and now - announced > lapse_after:
            self._machine.fire("lapse")
            self.announced_at = None
            actions.extend(self._refuse_queued(now))
        if self._machine.allows("try") and self._health.may_try(now):
            self._machine.fire("try")
            actions.extend(self._start_queued(now))
        for entry, session in self._sessions.items():
            actions.extend(self._resend(entry, session, now))
        return actions

    def _open_session(self, entry: int) -> Session:
        session = self._sessions.get(entry)
        if session is None:
            session = self._sessions[entry] = Session()
        return session

    def _learn_version(self, version: int) -> None:
        self.configuration_version = max(self.configuration_version, version)

    def _accept(
        self,
        session: Session,
        key: AttemptKey,
        order: _messages.Order,
        dispatch: _messages.Dispatch,
        now: datetime.datetime,
    ) -> _messages.AttemptReport | None:
        attempt = order.attempt
        if attempt in session.remembered:
            self.counters.duplicates += 1
            kept = session.kept.get(attempt)
            return kept.report if kept is not None else None
        if attempt <= session.watermark:
            return _messages.AttemptReport(
                attempt,
                _messages.Outcome.UNKNOWN,
                _messages.Reason.FORGOTTEN,
            )
        self._remember(session, attempt)
        reason = self._find_refusal(dispatch)
        if reason is not _messages.Reason.NONE:
            return self._refuse(attempt, reason)
        self._queue[key] = Held(key, order, now)
        return None

    def _find_refusal(self, dispatch: _messages.Dispatch) -> _messages.Reason:
        if dispatch.incarnation != self._incarnation:
            return _messages.Reason.OTHER_INCARNATION
        if dispatch.configuration_version < self.configuration_version:
            return _messages.Reason.STALE_CONFIGURATION
        if self.slots == 0:
            return _messages.Reason.NOT_SERVING
        occupied = len(self._queue) + len(self._running)
        if occupied >= self.slots + self._queue_limit:
            return _messages.Reason.BUSY
        return _messages.Reason.NONE

    def _refuse(
        self, attempt: int, reason: _messages.Reason
    ) -> _messages.AttemptReport:
        self.counters.refused += 1
        return _messages.AttemptReport(
            attempt, _messages.Outcome.NOT_STARTED, reason
        )

    def _remember(self, session: Session, attempt: int) -> None:
        session.remembered[attempt] = None
        if len(session.remembered) > MAX_REMEMBERED:
            oldest = next(iter(session.remembered))
            del session.remembered[oldest]
            session.watermark = max(session.watermark, oldest)

    def _fence(
        self, session: Session, key: AttemptKey, now: datetime.datetime
    ) -> _messages.AttemptReport:
        kept = session.kept.get(key.attempt)
        if kept is not None:
            return kept.report
        queued = self._queue.pop(key, None)
        if queued is None and (
            key.attempt in session.remembered
            or key.attempt <= session.watermark
        ):
            return _messages.AttemptReport(
                key.attempt,
                _messages.Outcome.UNKNOWN,
                _messages.Reason.FORGOTTEN,
            )
        if queued is None:
            self._remember(session, key.attempt)
        return self._refuse(key.attempt, _messages.Reason.WITHDRAWN)

    def _keep(
        self,
        entry: int,
        reports: list[_messages.AttemptReport],
        now: datetime.datetime,
    ) -> list[ExecutorAction]:
        if not reports:
            return []
        session = self._open_session(entry)
        for report in reports:
            if report.outcome is _messages.Outcome.RUNNING:
                continue
            if len(session.kept) >= MAX_UNACKNOWLEDGED:
                self.counters.dropped += 1
                continue
            session.kept[report.attempt] = Kept(report, now)
        return [SendReports(entry, tuple(reports))]

    def _drop_acknowledged(
        self, session: Session, attempts: tuple[int, ...]
    ) -> None:
        for attempt in attempts:
            session.kept.pop(attempt, None)

    def _resend(
        self, entry: int, session: Session, now: datetime.datetime
    ) -> list[ExecutorAction]:
        due = [
            kept
            for kept in session.kept.values()
            if now - kept.sent_at > RESEND_AFTER
        ]
        if not due:
            return []
        for kept in due:
            kept.sent_at = now
        return [SendReports(entry, tuple(kept.report for kept in due))]

    def _start_queued(self, now: datetime.datetime) -> list[ExecutorAction]:
        actions: list[ExecutorAction] = []
        while self._queue and len(self._running) < self.slots:
            key, held = self._queue.popitem(last=False)
            held.started_at = now
            self._running[key] = held
            self.counters.started += 1
            actions.append(StartTask(key, held.order))
        return actions

    def _refuse_queued(self, now: datetime.datetime) -> list[ExecutorAction]:
        by_entry: dict[int, list[_messages.AttemptReport]] = {}
        for key in self._queue:
            report = self._refuse(key.attempt, _messages.Reason.NOT_SERVING)
            by_entry.setdefault(key.entry, []).append(report)
        self._queue.clear()
        actions: list[ExecutorAction] = []
        for entry, reports in by_entry.items():
            actions.extend(self._keep(entry, reports, now))
        return actions

    def _judge_health(
        self,
        report: _messages.AttemptReport,
        held: Held,
        now: datetime.datetime,
    ) -> None:
        if report.outcome is _messages.Outcome.FINISHED:
            self._health.note_success()
            if self._machine.allows("recover"):
                self._machine.fire("recover")
            return
        if held.stopping:
            return
        job = held.order.task.partition(".")[0]
        self._health.note_failure(job, now)
        if self._machine.allows("quarantine") and (
            self.state == "probation" or self._health.failing
        ):
            self._machine.fire("quarantine")
            self._health.quarantine(now)
