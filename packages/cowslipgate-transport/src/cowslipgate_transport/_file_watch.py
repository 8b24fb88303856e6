"""Notices that a settings file has changed, by signal or by itself."""

import os
import pathlib
import signal
import types

import circuits

from cowslipgate_transport import _timer

CHANNEL = "files"

LOOK_SECONDS = 1.0
"""Interval between looks at the file, one system call each."""


class look_at_file(circuits.Event):
    """Asks to look whether the file is another than before."""


class file_changed(circuits.Event):
    """The file may say something else; the argument tells what was noticed."""


class FileWatch(circuits.BaseComponent):
    """Fires ``file_changed`` to every channel.

    :param path: the file
    """

    channel = CHANNEL

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__()
        self._path = path
        self._stamp = self._read_stamp()
        self._signalled = False
        signal.signal(signal.SIGHUP, self._note_signal)
        _timer.Timer(
            LOOK_SECONDS, look_at_file(), CHANNEL, persist=True
        ).register(self)

    @circuits.handler("look_at_file")
    def _on_look_at_file(self) -> None:
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

    def _note_signal(self, number: int, frame: types.FrameType | None) -> None:
        # Handlers of signals do nothing else; the next look takes it up.
        self._signalled = True

    def _read_stamp(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)
