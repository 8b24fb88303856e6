"""The pages name every setting, error type, metric and log event."""

import pathlib
import re

import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _changes as _agent_changes
from cowslipgate_bench import _interfaces
from cowslipgate_bench import _settings_page
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes

ROOT = pathlib.Path(__file__).parents[5]
PACKAGES = ROOT / "packages"


def _read(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def test_page_of_settings_is_current() -> None:
    assert _read("SETTINGS.md") == _settings_page.render_page()


def test_what_leaves_a_process_is_as_committed() -> None:
    """A change here needs a reason: other versions and readers see it."""
    assert _read("INTERFACES.txt") == _interfaces.render_interfaces()


@pytest.mark.parametrize(
    "kind", [*core.Failure, *_requests.PatchProblem], ids=str
)
def test_every_error_type_is_in_the_interface(kind: str) -> None:
    assert f"| `{kind}` |" in _read("API.md")


def test_every_metric_is_in_the_page_for_operators() -> None:
    folder = PACKAGES / "cowslipgate-entry" / "src" / "cowslipgate_entry"
    source = (folder / "observation" / "_families.py").read_text()
    names = set(re.findall(r'"(cowslipgate_\w+)"', source))
    page = _read("OPERATORS.md")
    assert names
    assert [name for name in sorted(names) if f"`{name}`" not in page] == []


def test_every_event_of_the_log_is_in_the_page_for_operators() -> None:
    page = _read("OPERATORS.md")
    changes = transport.Change.__subclasses__()
    names = [change.__name__ for change in changes]
    assert _changes.JobEnded in changes
    assert _agent_changes.TaskEnded in changes
    assert [name for name in names if f"`{name}`" not in page] == []
