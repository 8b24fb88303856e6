"""Processor time and memory of a process, read from ``/proc``."""

import datetime
import os
import pathlib

import attrs

KILOBYTE_BYTES = 1024  # ``kB`` in /proc.
MEGABYTE_BYTES = 1_000_000


@attrs.frozen
class ProcessCost:
    """Resources that a process uses."""

    processor: datetime.timedelta
    """User and system time since the process started."""

    memory_mb: float
    """Resident memory in MB."""


def read_cost(pid: int) -> ProcessCost:
    """Return what the process ``pid`` has used so far.

    :raises OSError: if the process does not exist
    """
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    seconds = ticks / os.sysconf("SC_CLK_TCK")
    lines = (folder / "status").read_text().splitlines()
    (resident,) = [line for line in lines if line.startswith("VmRSS:")]
    memory_mb = int(resident.split()[1]) * KILOBYTE_BYTES / MEGABYTE_BYTES
    return ProcessCost(datetime.timedelta(seconds=seconds), memory_mb)
