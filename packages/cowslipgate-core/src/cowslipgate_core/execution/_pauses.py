"""Pauses of an agent, after which it asks whether its runs are still wanted.

The signs that runs rest on grow old while the agent stands still, though their
entries and callers may be there. Until an entry has answered, or should have,
its runs go on under the lease that they have.
"""

import datetime

import attrs

PAUSE_AFTER = datetime.timedelta(milliseconds=375)
"""Time between two events of an agent, one of which is due every 0.1 s, from
which on it has stood still; a busy VM does so for less."""


@attrs.frozen
class PauseLimits:
    """How long an agent may have been away for its runs to go on."""

    confirm_within: datetime.timedelta
    """Time after a pause in which entries are asked; runs that are not
    confirmed by then are stopped."""

    reassigned_after: datetime.timedelta
    """Time without a message of the agent after which entries start its tasks
    elsewhere; runs are stopped at once after it."""


class Pauses:
    """The last pause of an agent.

    :param pause_after: time between two readings of the clock from which on
        it is a pause
    :param limits: None to wait for no confirmation
    """

    def __init__(
        self,
        pause_after: datetime.timedelta = PAUSE_AFTER,
        limits: PauseLimits | None = None,
    ) -> None:
        self._pause_after = pause_after
        self._limits = limits
        self._seen_at: datetime.datetime | None = None
        self._began_at: datetime.datetime | None = None
        self._ended_at: datetime.datetime | None = None

    def measure(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Record a reading of the clock; return the pause before it, if any.

        :param now: time that counts suspensions
        """
        previous, self._seen_at = self._seen_at, now
        if previous is None or now - previous <= self._pause_after:
            return None
        if not self._is_asking(previous):
            self._began_at = previous
        self._ended_at = now
        return now - previous

    def awaits_confirmation(
        self,
        dated_at: datetime.datetime,
        confirmed_at: datetime.datetime | None,
        valid_for: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Return whether what has grown old in the pause may be confirmed.

        :param dated_at: time of the sign that has grown old
        :param confirmed_at: time of the newest message of the agent that the
            entry has received, or None
        :param valid_for: age up to which such a sign is valid
        """
        if not self._is_asking(now):
            return False
        if confirmed_at is None or confirmed_at >= self._ended_at:
            return False
        if dated_at + valid_for < self._began_at:
            return False
        return now - confirmed_at <= self._limits.reassigned_after

    def _is_asking(self, now: datetime.datetime) -> bool:
        if self._limits is None or self._ended_at is None:
            return False
        return now - self._ended_at <= self._limits.confirm_within
