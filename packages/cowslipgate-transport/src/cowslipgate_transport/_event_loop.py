"""Event loop that polls timers and sockets only when no event is queued."""

import circuits

MAX_FLUSHES = 16
"""Flushes between two polls, which bounds how long events that cause further
events delay new messages."""


class Process(circuits.BaseComponent):
    """Root component of a process, with this event loop.

    That of circuits polls after each flush, even if the flushed events have
    fired others.
    """

    def tick(self, timeout: float = -1) -> None:
        """Handle the queued events and wait for the next ones."""
        for _ in range(MAX_FLUSHES):
            if not len(self):
                break
            self.flush()
        super().tick(timeout)
