"""The progress bar of long commands."""

import io
import sys

import pytest

from cowslipgate_entry.commands import _output


class _Screen(io.StringIO):
    """A stream that may be a terminal."""

    def __init__(self, terminal: bool) -> None:
        super().__init__()
        self._terminal = terminal

    def isatty(self) -> bool:
        """Tell whether it stands for a terminal."""
        return self._terminal


@pytest.mark.parametrize("terminal", [True, False])
def test_progress_is_shown_on_a_terminal_only(
    monkeypatch: pytest.MonkeyPatch, terminal: bool
) -> None:
    screen = _Screen(terminal)
    monkeypatch.setattr(sys, "stderr", screen)
    monkeypatch.setenv("TERM", "xterm")
    with _output.show_progress("waiting for the answer"):
        pass
    assert ("waiting for the answer" in screen.getvalue()) is terminal
