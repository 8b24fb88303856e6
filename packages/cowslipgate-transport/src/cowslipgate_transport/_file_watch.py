"""Detects that a settings file has changed, by SIGHUP or by polling."""

from collections.abc import Callable
import os
import pathlib
import signal
import types

import circuits

from cowslipgate_transport import _timer

CHANNEL = "files"

CHECK_SECONDS = 1.0
"""Interval between checks of the file; each costs one system call."""


class check_file(circuits.Event):
    """Asks to check whether the file has changed."""


class file_changed(circuits.Event):
    """The file may have changed; the argument is ``signal`` or ``file``."""


class FileWatch(circuits.BaseComponent):
    """Fires ``file_changed`` on every channel.

    :param path: the settings file
    :param was_signalled: tells whether a SIGHUP came earlier in the process
    """

    channel = CHANNEL

    def __init__(
        self,
        path: pathlib.Path,
        was_signalled: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._path = path
        self._stamp = self._read_stamp()
        self._signalled = False
        signal.signal(signal.SIGHUP, self._record_signal)
        # No signal is lost between the earlier handler and this one.
        self._signalled = self._signalled or was_signalled()
        _timer.Timer(
            CHECK_SECONDS, check_file(), CHANNEL, persist=True
        ).register(self)

    @circuits.handler("check_file")
    def _on_check_file(self) -> None:
        stamp = self._read_stamp()
        if self._signalled:
            noticed = "signal"
        elif stamp != self._stamp:
            noticed = "file"
        else:
            return
        self._signalled = False
        self._stamp = stamp
        self.fire(file_changed(noticed), "*")

    def _record_signal(
        self, number: int, frame: types.FrameType | None
    ) -> None:
        # Signal handlers only set a flag; the next check fires the event.
        self._signalled = True

    def _read_stamp(self) -> tuple[int, int, int]:
        """Return mtime in ns, size and inode; zeros if it is unreadable."""
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)
