"""Processor time and memory of a process, read from ``/proc``."""

import datetime
import os
import pathlib

import attrs

KILOBYTE = 1024
MEGABYTE = 1_000_000


@attrs.frozen
class ProcessCost:
    """What a process has used."""

    processor: datetime.timedelta
    """Processor time since its start."""

    memory_mb: float
    """Resident memory in MB."""


def read_cost(pid: int) -> ProcessCost:
    """Return what the process ``pid`` has used so far.

    :raises OSError: when there is no such process
    """
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    seconds = ticks / os.sysconf("SC_CLK_TCK")
    lines = (folder / "status").read_text().splitlines()
    (resident,) = [line for line in lines if line.startswith("VmRSS:")]
    memory_mb = int(resident.split()[1]) * KILOBYTE / MEGABYTE
    return ProcessCost(datetime.timedelta(seconds=seconds), memory_mb)
