"""Tests of the memory that the agent's imports use."""

import subprocess
import sys

LIMIT_KB = 32 * 1024
_PROGRAM = """
import importlib
import sys

import cowslipgate_startup as startup

startup.exclude_unused()
importlib.import_module("cowslipgate_agent._command")
with open("/proc/self/status") as status:
    (line,) = [line for line in status if line.startswith("VmRSS:")]
print(line.split()[1], "_ssl" in sys.modules)
"""


def test_imports_of_the_binary_stay_within_the_limit() -> None:
    command = [sys.executable, "-c", _PROGRAM]
    done = subprocess.run(command, capture_output=True, check=True)
    resident, has_ssl = done.stdout.decode().split()
    assert int(resident) < LIMIT_KB
    assert has_ssl == "False"
