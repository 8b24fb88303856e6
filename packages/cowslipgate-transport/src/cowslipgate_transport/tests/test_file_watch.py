"""Tests of noticing that a settings file has changed."""

from collections.abc import Iterator
import os
import pathlib
import signal

import circuits
import pytest

from cowslipgate_transport import _file_watch


class Rig(circuits.BaseComponent):
    """A watch and what it noticed."""

    channel = "rig"

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__()
        self.noticed: list[str] = []
        _file_watch.FileWatch(path).register(self)

    @circuits.handler("file_changed", channel="*")
    def _on_file_changed(self, noticed: str) -> None:
        self.noticed.append(noticed)

    def look(self) -> list[str]:
        """Look at the file and return what was noticed so far."""
        self.fire(_file_watch.look_at_file(), _file_watch.CHANNEL)
        while len(self):
            self.flush()
        return self.noticed


@pytest.fixture
def rig(tmp_path: pathlib.Path) -> Iterator[Rig]:
    """Return a rig; the handler of the signal is put back."""
    before = signal.getsignal(signal.SIGHUP)
    path = tmp_path / "settings.toml"
    path.write_text("a = 1")
    yield Rig(path)
    signal.signal(signal.SIGHUP, before)


def test_file_that_stays_is_not_read_again(rig: Rig) -> None:
    assert rig.look() == []


def test_changed_file_is_noticed_once(
    rig: Rig, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "settings.toml").write_text("a = 12")
    assert rig.look() == ["file"]
    assert rig.look() == ["file"]


def test_missing_file_is_a_change(rig: Rig, tmp_path: pathlib.Path) -> None:
    (tmp_path / "settings.toml").unlink()
    assert rig.look() == ["file"]


def test_signal_is_noticed_and_ends_nothing(rig: Rig) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    assert rig.look() == ["signal"]
    assert rig.look() == ["signal"]
