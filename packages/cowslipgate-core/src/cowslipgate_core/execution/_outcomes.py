"""Outcomes that an agent keeps until their entries acknowledge them."""

import datetime

import attrs

from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.messages import _attempts

LONGEST_RESEND = datetime.timedelta(seconds=8)
"""Bound of the interval between resends, which doubles each time."""

MAX_KEPT_BYTES = 8_388_608
"""Bytes of kept results from which on the agent takes no more work."""

MAX_UNACKNOWLEDGED = 10_000
OUTCOME_LIFETIME = datetime.timedelta(seconds=60)
RESEND_AFTER = datetime.timedelta(milliseconds=1800)
RESEND_BATCH = 256
"""Outcomes that are resent to one entry at a time."""


@attrs.define(eq=False)
class UnacknowledgedReport:
    """An outcome that the entry has not acknowledged."""

    report: _attempts.AttemptReport
    """The outcome."""

    since: datetime.datetime
    """Time of the first sending."""

    resend_at: datetime.datetime
    """Time of the next sending."""

    interval: datetime.timedelta = RESEND_AFTER
    """Interval between the last sending and the next."""


class Outcomes:
    """Unacknowledged outcomes by entry and attempt, bounded."""

    def __init__(self) -> None:
        self._kept: dict[int, dict[int, UnacknowledgedReport]] = {}
        self._count = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._count

    @property
    def full(self) -> bool:
        """Whether new work must be refused, since its outcome has no space."""
        return (
            self._count >= MAX_UNACKNOWLEDGED or self._bytes >= MAX_KEPT_BYTES
        )

    def count(self, entry: int) -> int:
        """Return the number of outcomes kept for an entry."""
        return len(self._kept.get(entry, ()))

    def get(self, entry: int, attempt: int) -> _attempts.AttemptReport | None:
        """Return the outcome of an attempt, or None."""
        kept = self._kept.get(entry, {}).get(attempt)
        return kept.report if kept is not None else None

    def keep(
        self,
        entry: int,
        report: _attempts.AttemptReport,
        now: datetime.datetime,
    ) -> None:
        """Keep an outcome that is sent now, unless it is kept already."""
        by_attempt = self._kept.setdefault(entry, {})
        if report.attempt in by_attempt:
            return
        by_attempt[report.attempt] = UnacknowledgedReport(
            report, now, now + RESEND_AFTER
        )
        self._count += 1
        self._bytes += len(report.result)

    def acknowledge(self, entry: int, attempts: tuple[int, ...]) -> None:
        """Forget the outcomes that an entry has received."""
        for attempt in attempts:
            self._forget(entry, attempt)

    def forget_entry(self, entry: int) -> int:
        """Forget the outcomes of an entry and return their number."""
        attempts = list(self._kept.get(entry, ()))
        for attempt in attempts:
            self._forget(entry, attempt)
        return len(attempts)

    def expire(self, now: datetime.datetime) -> int:
        """Forget outcomes kept for too long and return their number."""
        expired = [
            (entry, attempt)
            for entry, by_attempt in self._kept.items()
            for attempt, kept in by_attempt.items()
            if now - kept.since > OUTCOME_LIFETIME
        ]
        for entry, attempt in expired:
            self._forget(entry, attempt)
        return len(expired)

    def resend(
        self, now: datetime.datetime
    ) -> list[_executor_actions.SendReports]:
        """Return the outcomes that are due again, with exponential backoff."""
        actions = []
        for entry, by_attempt in self._kept.items():
            due = [k for k in by_attempt.values() if now >= k.resend_at]
            if not due:
                continue
            for kept in due[:RESEND_BATCH]:
                kept.interval = min(kept.interval * 2, LONGEST_RESEND)
                kept.resend_at = now + kept.interval
            reports = tuple(kept.report for kept in due[:RESEND_BATCH])
            actions.append(_executor_actions.SendReports(entry, reports))
        return actions

    def _forget(self, entry: int, attempt: int) -> None:
        by_attempt = self._kept.get(entry, {})
        kept = by_attempt.pop(attempt, None)
        if kept is None:
            return
        self._count -= 1
        self._bytes -= len(kept.report.result)
        if not by_attempt:
            del self._kept[entry]
