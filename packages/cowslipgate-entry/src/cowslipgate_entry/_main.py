"""Start of the binary ``cowslipgate``."""

import importlib
import sys

import cowslipgate_startup as startup

_HELP_FLAGS = {"--help", "-h"}


def run_command() -> None:
    """Run the command line, an entry with little in memory."""
    words = sys.argv[1:]
    # The pages of help are rendered with modules that an entry never uses.
    if words[:1] == ["serve"] and _HELP_FLAGS.isdisjoint(words):
        startup.exclude_unused()
    importlib.import_module(
        "cowslipgate_entry.commands._command_line"
    ).run_command()
