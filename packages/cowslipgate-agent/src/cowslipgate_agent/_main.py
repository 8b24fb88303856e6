"""Main function of ``cowslipgate-agent``."""

import importlib

import cowslipgate_startup as startup


def run_agent() -> None:
    """Exclude unused modules from memory, then run the command line."""
    startup.exclude_unused()
    importlib.import_module("cowslipgate_agent._command").run()
