"""Tests of the report on an entry's cost per task."""

import datetime

from cowslipgate_bench import _task_cost
import pytest

COUNTED = "\n800000,,instructions:u,1000000,100.00,0.5,insn per cycle\n"
DENIED = "<not supported>,,instructions:u,0,100.00,,\n"
USED = datetime.timedelta(milliseconds=2)


@pytest.mark.parametrize(
    ("report", "line"),
    [
        (COUNTED, "200.0 us a task, 10 tasks, 80.0 kilo-instructions a task"),
        (DENIED, "200.0 us a task, 10 tasks"),
        ("", "200.0 us a task, 10 tasks"),
    ],
    ids=["counted", "not supported", "nothing printed"],
)
def test_cost_includes_instructions_if_counted(report: str, line: str) -> None:
    count = _task_cost.InstructionCount(_task_cost.parse_report(report))
    assert _task_cost.format_cost(USED, count, 10) == line
