"""Tests of the progress bar of long commands."""

import io
import sys

import pytest

from cowslipgate_entry.commands import _output


class _Stream(io.StringIO):
    """A text stream that reports whether it is a terminal."""

    def __init__(self, terminal: bool) -> None:
        super().__init__()
        self._terminal = terminal

    def isatty(self) -> bool:
        """Return whether the stream is a terminal."""
        return self._terminal


@pytest.mark.parametrize("terminal", [True, False])
def test_progress_is_shown_on_a_terminal_only(
    monkeypatch: pytest.MonkeyPatch, terminal: bool
) -> None:
    stream = _Stream(terminal)
    monkeypatch.setattr(sys, "stderr", stream)
    monkeypatch.setenv("TERM", "xterm")
    with _output.show_progress("waiting for the answer"):
        pass
    assert ("waiting for the answer" in stream.getvalue()) is terminal
