"""Entry point of the command ``cowslipgate``."""

import importlib
import sys

import cowslipgate_startup as startup

_HELP_FLAGS = {"--help", "-h"}


def run_command() -> None:
    """Run the command line, without unused modules for an entry."""
    words = sys.argv[1:]
    # Help pages need modules that an entry excludes to save memory.
    if words[:1] == ["serve"] and _HELP_FLAGS.isdisjoint(words):
        startup.exclude_unused()
    importlib.import_module(
        "cowslipgate_entry.commands._command_line"
    ).run_command()
