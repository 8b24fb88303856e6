"""Tests of the list of known failures."""

from cowslipgate_bench import _exceptions
from cowslipgate_bench import _known_red
import pytest

LINE = "a.py::test_b | make test | lost an answer | issue 4"


def test_entries_are_read_by_test() -> None:
    entries = _known_red.parse_known_red(f"# comment\n\n{LINE}\n")
    assert entries["a.py::test_b"].seen == "lost an answer"


@pytest.mark.parametrize("line", ["a.py::test_b", LINE + " | more", "a||b|c"])
def test_malformed_entry_is_refused(line: str) -> None:
    with pytest.raises(_exceptions.MalformedEntry):
        _known_red.parse_known_red(line)


def test_summary_names_failures_and_passes() -> None:
    entries = _known_red.parse_known_red(LINE)
    failed = _known_red.summarize(entries, ["a.py::test_b"], [])
    passed = _known_red.summarize(entries, [], ["a.py::test_b"])
    assert "lost an answer (issue 4)" in failed[0]
    assert "PASSED" in passed[0]
