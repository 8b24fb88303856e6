"""Tests of detecting that a settings file has changed."""

from collections.abc import Iterator
import os
import pathlib
import signal

import circuits
import pytest

from cowslipgate_transport import _file_watch


class WatchHarness(circuits.BaseComponent):
    """A file watch and the changes that it has fired."""

    channel = "harness"

    def __init__(
        self, path: pathlib.Path, was_signalled: bool = False
    ) -> None:
        super().__init__()
        self.noticed: list[str] = []
        _file_watch.FileWatch(path, lambda: was_signalled).register(self)

    @circuits.handler("file_changed", channel="*")
    def _on_file_changed(self, noticed: str) -> None:
        self.noticed.append(noticed)

    def check(self) -> list[str]:
        """Check the file and return the changes fired so far."""
        self.fire(_file_watch.check_file(), _file_watch.CHANNEL)
        while len(self):
            self.flush()
        return self.noticed


@pytest.fixture
def harness(tmp_path: pathlib.Path) -> Iterator[WatchHarness]:
    """Yield a harness, then restore the signal handler."""
    before = signal.getsignal(signal.SIGHUP)
    path = tmp_path / "settings.toml"
    path.write_text("a = 1")
    yield WatchHarness(path)
    signal.signal(signal.SIGHUP, before)


def test_unchanged_file_is_not_reported(harness: WatchHarness) -> None:
    assert harness.check() == []


def test_changed_file_is_noticed_once(
    harness: WatchHarness, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "settings.toml").write_text("a = 12")
    assert harness.check() == ["file"]
    assert harness.check() == ["file"]


def test_missing_file_is_a_change(
    harness: WatchHarness, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "settings.toml").unlink()
    assert harness.check() == ["file"]


def test_signal_is_noticed_and_does_not_end_the_process(
    harness: WatchHarness,
) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    assert harness.check() == ["signal"]
    assert harness.check() == ["signal"]


# Guards against a signal during the start of a program that is forgotten.
def test_signal_before_the_watch_is_noticed(
    harness: WatchHarness, tmp_path: pathlib.Path
) -> None:
    later = WatchHarness(tmp_path / "settings.toml", was_signalled=True)
    assert later.check() == ["signal"]
    assert later.check() == ["signal"]
