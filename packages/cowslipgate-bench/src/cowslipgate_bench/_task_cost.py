"""Cost of a task to an entry in processor time and instructions.

Processor time depends on other load of the machine; the number of
instructions hardly does.
"""

from collections.abc import Iterator
import contextlib
import datetime
import shutil
import signal
import subprocess
import time

import attrs

from cowslipgate_bench import _capacity

PERF = ("perf", "stat", "--field-separator=,", "--event=instructions:u")
ATTACH_SECONDS = 0.3  # Time for perf to attach before the load starts.
MICROSECOND = datetime.timedelta(microseconds=1)


@attrs.frozen
class Load:
    """Load on one entry."""

    tasks: int
    """Number of tasks in a job."""

    agents: int
    """Number of agents."""

    longest_ms: float
    """Longest run time of a task in milliseconds."""

    connections: int
    """Number of callers; each submits a job when its last is answered."""


@attrs.define
class InstructionCount:
    """Instructions that a process executed in user mode."""

    total: float | None = None
    """Number of instructions, or None if they can't be counted."""


@contextlib.contextmanager
def count_instructions(pid: int) -> Iterator[InstructionCount]:
    """Count the instructions of ``pid`` if ``perf`` is installed."""
    count = InstructionCount()
    if shutil.which(PERF[0]) is None:
        yield count
        return
    with subprocess.Popen(
        [*PERF, f"--pid={pid}"], stderr=subprocess.PIPE, text=True
    ) as perf:
        time.sleep(ATTACH_SECONDS)
        try:
            yield count
        finally:
            perf.send_signal(signal.SIGINT)
            _, report = perf.communicate()
        count.total = parse_report(report)


def parse_report(report: str) -> float | None:
    """Return the count in the output of ``perf stat``, or None without it."""
    for line in report.splitlines():
        number, _, event = line.partition(",")
        if "instructions" in event and number.isdecimal():
            return float(number)
    return None


def print_task_cost(load: Load, runs: int) -> None:
    """Measure one entry several times and print a line for each run."""
    with _capacity.start_cluster(1) as cluster:
        _capacity.start_agents(cluster, load.agents, load.longest_ms)
        pid = cluster.entries[0].process.pid
        for _ in range(runs):
            with count_instructions(pid) as count:
                used, jobs = _capacity.load_entry(
                    cluster, pid, load.tasks, load.connections
                )
            tasks = jobs * load.tasks
            print(format_cost(used, count, tasks), flush=True)


def format_cost(
    used: datetime.timedelta, count: InstructionCount, tasks: int
) -> str:
    """Return a line with the mean cost of a task."""
    line = f"{used / MICROSECOND / tasks:.1f} us a task, {tasks} tasks"
    if count.total is None:
        return line
    return f"{line}, {count.total / tasks / 1000:.1f} kilo-instructions a task"
