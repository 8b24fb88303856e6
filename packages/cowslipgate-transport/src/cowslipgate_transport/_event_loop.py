"""Event loop of a process: fewer rounds than that of circuits."""

import circuits

MAX_FLUSHES = 16
"""Flushes between two looks at the sockets, which bounds how long events that
cause further events keep new messages waiting."""


class Process(circuits.BaseComponent):
    """Root component that waits for sockets only when no event is queued.

    The loop of circuits asks timers and sockets for news after each flush,
    also while the events of that flush have caused others.
    """

    def tick(self, timeout: float = -1) -> None:
        """Handle the queued events and wait for the next ones."""
        for _ in range(MAX_FLUSHES):
            if not len(self):
                break
            self.flush()
        super().tick(timeout)
