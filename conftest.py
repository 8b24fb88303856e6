"""Expect failures of just the tests in ``KNOWN-RED.txt``, and print them."""

import pathlib

from cowslipgate_bench import _known_red
import pytest

_ENTRIES = _known_red.read_known_red(
    pathlib.Path(__file__).parent / "KNOWN-RED.txt"
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures."""
    for item in items:
        entry = _ENTRIES.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.seen} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests that failed and those that passed."""
    outcomes = {
        key: [
            report.nodeid
            for report in terminalreporter.stats.get(key, [])
            if report.nodeid in _ENTRIES
        ]
        for key in ("xfailed", "xpassed")
    }
    lines = _known_red.summarize(
        _ENTRIES, outcomes["xfailed"], outcomes["xpassed"]
    )
    if lines:
        terminalreporter.section("KNOWN-RED.txt")
        for line in lines:
            terminalreporter.write_line(line)
