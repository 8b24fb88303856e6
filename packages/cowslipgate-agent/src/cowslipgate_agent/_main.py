"""Start of the binary ``cowslipgate-agent``."""

import importlib

import cowslipgate_startup as startup


def run_agent() -> None:
    """Run the command line with little in memory."""
    startup.exclude_unused()
    importlib.import_module("cowslipgate_agent._command").run()
