"""What the attempts of one entry rest on, dated by the agent's clock.

An attempt is wanted as long as its caller waits, or, where callers are not
probed, as long as its entry lives. Each message of the entry tells how old its
last sign of each caller is. The age counts from a time that the agent can
date itself, so ages of several hops never add up unnoticed.
"""

from collections.abc import Collection, Iterable
import datetime

import attrs

MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class Signs:
    """Latest signs of one entry and of the callers of its attempts."""

    lived_at: datetime.datetime | None = None
    """Time at which the entry lived for certain, or None."""

    _callers: dict[int, datetime.datetime] = attrs.Factory(dict)

    def record_life(self, lived_at: datetime.datetime) -> None:
        """Record that the entry lived at a time."""
        if self.lived_at is None or lived_at > self.lived_at:
            self.lived_at = lived_at

    def record_callers(
        self,
        sent_at: datetime.datetime,
        ages: Iterable[tuple[int, int]],
        kept: Collection[int],
    ) -> None:
        """Record the ages that a message tells.

        :param sent_at: latest time before which it was not sent
        :param ages: attempts and the ages of their callers' signs, in
            milliseconds; an attempt that was listed once and is missing now
            gets no newer sign
        :param kept: attempts held here, whose signs are kept if missing
        """
        callers = {
            attempt: self._callers[attempt]
            for attempt in kept
            if attempt in self._callers
        }
        for attempt, age_ms in ages:
            sign = sent_at - age_ms * MILLISECOND
            known = self._callers.get(attempt)
            callers[attempt] = sign if known is None else max(known, sign)
        self._callers = callers

    def get(self, attempt: int) -> datetime.datetime | None:
        """Return the time of the sign that an attempt rests on, or None."""
        return self._callers.get(attempt, self.lived_at)
