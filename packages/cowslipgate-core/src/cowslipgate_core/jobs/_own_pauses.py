"""Pauses of an entry, in which messages for it lie unread."""

import datetime

import attrs

PAUSE_AFTER = datetime.timedelta(milliseconds=200)
"""Time between two ticks, due every 0.1 s, from which on it is a pause."""


@attrs.define
class OwnPauses:
    """Whether an entry has read its messages since its last pause.

    A busy entry, too, pauses between two ticks: it may answer hundreds of
    callers at once. Answers of agents arrive meanwhile.
    """

    _ticked_at: datetime.datetime | None = None
    """Time of the last tick, or None before the first."""

    _passed_over: bool = False
    """Whether the last tick came after a pause."""

    def may_judge_silence(self, now: datetime.datetime) -> bool:
        """Record a tick; return whether a missing answer is due to its agent.

        It may lie unread after a pause. Messages are read until the next tick,
        which counts even if it is late as well.
        """
        before = self._ticked_at
        self._ticked_at = now
        paused = before is not None and now - before > PAUSE_AFTER
        self._passed_over = paused and not self._passed_over
        return not self._passed_over
