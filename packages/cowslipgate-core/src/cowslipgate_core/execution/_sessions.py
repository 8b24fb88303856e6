"""Sessions of entry incarnations, which prevent duplicate starts."""

import collections
from collections.abc import Collection, Iterator
import datetime
import sys

import attrs

from cowslipgate_core.execution import _signs

MAX_EVICTED = 1_024
"""Evicted sessions whose highest attempt and link are kept."""

MAX_REMEMBERED = 4_096
"""Attempts recorded one by one in each session."""

MAX_SESSIONS = 256
EVERY_ATTEMPT = sys.maxsize
"""Watermark that covers every attempt."""


@attrs.define(eq=False)
class Session:
    """Attempts received from one entry incarnation, and its link."""

    watermark: int = 0
    """Attempts up to this number all count as received."""

    link: int = 0
    """Number of the link; dispatches under a lower one are refused."""

    connected: bool = False
    """Whether a connection was made since the entry was last dropped."""

    broken: bool = False
    """Whether the connection is known to be broken and was not made again."""

    dropped_at: datetime.datetime | None = None
    """Time at which the entry was dropped as lost, or None."""

    confirmed_at: datetime.datetime | None = None
    """When the newest message was sent that the entry has confirmed."""

    signs: _signs.Signs = attrs.Factory(_signs.Signs)
    """What its attempts rest on."""

    expected: set[int] = attrs.Factory(set)
    """Attempts whose orders have arrived and were not handed over yet."""

    remembered: dict[int, None] = attrs.Factory(dict)
    """Attempts above the watermark that were accepted or fenced."""

    def is_known(self, attempt: int) -> bool:
        """Return whether an attempt may have been accepted or fenced."""
        return attempt <= self.watermark or attempt in self.remembered

    def remember(self, attempt: int) -> None:
        """Record an attempt; the oldest ones fall below the watermark."""
        self.remembered[attempt] = None
        if len(self.remembered) > MAX_REMEMBERED:
            oldest = next(iter(self.remembered))
            del self.remembered[oldest]
            self.watermark = max(self.watermark, oldest)

    def get_highest(self) -> int:
        """Return the highest attempt that was accepted or fenced."""
        return max(self.watermark, max(self.remembered, default=0))


class Sessions:
    """Sessions by entry incarnation, bounded in number.

    An evicted session keeps only its highest attempt and link, so that no
    attempt up to it starts. Beyond the limit of these, the lowest incarnation
    is forgotten and becomes the floor: an unknown incarnation up to the floor
    starts nothing.
    """

    def __init__(self) -> None:
        self._sessions: collections.OrderedDict[int, Session] = (
            collections.OrderedDict()
        )
        self._evicted: dict[int, Session] = {}
        self._floor = 0

    def __len__(self) -> int:
        return len(self._sessions)

    def __iter__(self) -> Iterator[tuple[int, Session]]:
        return iter(list(self._sessions.items()))

    @property
    def evicted(self) -> int:
        """Number of evicted sessions whose highest attempt is kept."""
        return len(self._evicted)

    def get(self, entry: int) -> Session | None:
        """Return the session of an entry, or None."""
        return self._sessions.get(entry)

    def open(self, entry: int) -> Session:
        """Return the session of an entry and mark it most recently used."""
        session = self._sessions.get(entry)
        if session is None:
            session = self._restore(entry)
            self._sessions[entry] = session
        self._sessions.move_to_end(entry)
        return session

    def find_surplus(self, busy: Collection[int]) -> list[int]:
        """Return the entries to evict, dropped and least recently used first.

        :param busy: entries whose attempts are queued or running
        """
        surplus = len(self._sessions) - MAX_SESSIONS
        if surplus <= 0:
            return []
        newest = next(reversed(self._sessions))
        idle = [
            entry
            for entry in self._sessions
            if entry not in busy and entry != newest
        ]
        idle.sort(key=lambda entry: self._sessions[entry].dropped_at is None)
        return idle[:surplus]

    def evict(self, entry: int) -> None:
        """Reduce a session to its highest attempt and its link."""
        session = self._sessions.pop(entry)
        self._evicted[entry] = Session(session.get_highest(), session.link)
        if len(self._evicted) > MAX_EVICTED:
            oldest = min(self._evicted)
            del self._evicted[oldest]
            self._floor = max(self._floor, oldest)

    def _restore(self, entry: int) -> Session:
        evicted = self._evicted.pop(entry, None)
        if evicted is not None:
            return evicted
        return Session(EVERY_ATTEMPT if entry <= self._floor else 0)
