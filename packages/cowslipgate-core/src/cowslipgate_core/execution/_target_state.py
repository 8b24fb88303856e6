"""State of the target beside an agent."""

import datetime

import msgspec

from cowslipgate_core import _charts
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _health
from cowslipgate_core.execution import _slots
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

_LOST = _attempts.Outcome.LOST

_AGENT_REASONS = frozenset(
    (
        # The agent's fencing token was stale; its next one is higher.
        _attempts.Reason.STALE_TOKEN,
        # The agent did not call the target.
        _attempts.Reason.NOT_SERVING,
    )
)


class TargetState:
    """Announcement and health of one target, as in ``charts/target.toml``."""

    def __init__(self) -> None:
        self._machine = _charts.StateMachine(_charts.load_chart("target"))
        self._health = _health.FailureWindow()
        self._announced_at: datetime.datetime | None = None
        self.announcement: _executor_actions.Announcement | None = None
        self.evacuated = False
        """Whether its failure domain is evacuated, or not known not to be."""

    @property
    def state(self) -> str:
        """State in ``charts/target.toml``."""
        return self._machine.state

    @property
    def address(self) -> str:
        """Address of the target, empty before its first announcement."""
        announcement = self.announcement
        return announcement.address if announcement is not None else ""

    @property
    def service(self) -> str:
        """Service of the target, empty before its first announcement."""
        announcement = self.announcement
        return announcement.service if announcement is not None else ""

    @property
    def room(self) -> _resources.Room:
        """Resources that all tasks of the target share, or unset."""
        announcement = self.announcement
        return announcement.room if announcement else msgspec.UNSET

    @property
    def slots(self) -> int:
        """Tasks that may run at once in the present state."""
        announcement = self.announcement
        if announcement is None or self.evacuated:
            return 0
        announced = min(announcement.slots, announcement.connections)
        match self._machine.get_attribute("slots"):
            case "all":
                return announced
            case "one":
                return min(1, announced)
        return 0

    def covers(self, needs: _resources.Resources) -> bool:
        """Return whether the target has what a task needs, were it idle."""
        announcement = self.announcement
        return announcement is not None and _room.covers_needs(
            announcement.resources, needs
        )

    def announce(
        self,
        announcement: _executor_actions.Announcement,
        now: datetime.datetime,
    ) -> None:
        """Handle an announcement.

        Another address or incarnation means that the target was replaced.
        """
        known = self.announcement
        replaced = known is not None and (known.address, known.life) != (
            announcement.address,
            announcement.life,
        )
        self.announcement = announcement
        self._announced_at = now
        if replaced:
            self._health = _health.FailureWindow()
        self._machine.fire("replace" if replaced else "announce")
        if self._health.is_quarantined(now):
            self._fire_allowed("quarantine")

    def leave(self) -> None:
        """Stop taking work, because the target or the agent is leaving."""
        self._machine.fire("leave")

    def supersede(self) -> None:
        """Stop taking work until the target's next announcement.

        The present one is known to be outdated.
        """
        self._machine.fire("supersede")

    def disconnect(self) -> None:
        """Stop taking work until the next announcement."""
        self._fire_allowed("disconnect")

    def check(
        self, now: datetime.datetime, lapse_after: datetime.timedelta
    ) -> None:
        """Expire the announcement and the quarantine.

        :param lapse_after: time without an announcement after which the
            target counts as absent
        """
        announced = self._announced_at
        if announced is not None and now - announced > lapse_after:
            self._machine.fire("lapse")
            self._announced_at = None
        if self._machine.allows("try") and self._health.allows_probation(now):
            self._machine.fire("try")

    def record_call_end(
        self,
        report: _attempts.AttemptReport,
        held: _slots.HeldAttempt,
        now: datetime.datetime,
    ) -> None:
        """Update the health by the end of a call, unless it went elsewhere."""
        if held.address != self.address:
            return
        if report.outcome is _attempts.Outcome.FINISHED:
            self._health.record_success(held.started_at)
            self._fire_allowed("recover")
        elif report.reason is _attempts.Reason.TARGET_UNREACHABLE:
            self._fire_allowed("disconnect")
            if self.state == _targets.PROBATION:
                self._quarantine(now)
        elif _counts_against_target(report, held):
            job = held.order.task.partition(".")[0]
            self._health.record_failure(job, held.started_at, now)
            if self.state == _targets.PROBATION or self._health.failing:
                self._quarantine(now)

    def _quarantine(self, now: datetime.datetime) -> None:
        if self._fire_allowed("quarantine"):
            self._health.quarantine(now)

    def _fire_allowed(self, event: str) -> bool:
        allowed = self._machine.allows(event)
        if allowed:
            self._machine.fire(event)
        return allowed


def _counts_against_target(
    report: _attempts.AttemptReport, held: _slots.HeldAttempt
) -> bool:
    """Return whether an unfinished run counts as the target's failure."""
    if held.stopping:
        return held.stalled
    if report.reason in _AGENT_REASONS:
        return False
    return report.outcome is not _LOST
