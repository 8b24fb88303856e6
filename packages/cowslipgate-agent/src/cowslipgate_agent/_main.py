"""Start of the binary ``cowslipgate-agent``."""

import importlib

from cowslipgate_agent import _lean_imports


def run_agent() -> None:
    """Run the command line with little in memory."""
    _lean_imports.exclude_unused()
    importlib.import_module("cowslipgate_agent._command").run()
