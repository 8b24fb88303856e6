"""Commands of ``cowslipgate`` and their registration."""

import os
import sys
from typing import Annotated

import cyclopts

import cowslipgate_core as core
from cowslipgate_entry import _settings
from cowslipgate_entry.commands import _exit_statuses
from cowslipgate_entry.commands import _flags
import cowslipgate_startup as startup

EXIT_STATUSES = """Exit status:

0 complete, 1 failed after it may have started, 2 wrong arguments or
settings, 3 refused with nothing run or stored, 4 no answer. Of
check-configuration: 0 clean, 1 findings, 2 unreadable file.
"""

app = cyclopts.App(
    name="cowslipgate",
    help="Dispatcher for sub-second tasks.",
    help_epilogue=EXIT_STATUSES,
    version=None,
)

_CALLER_COMMANDS = {
    "submit": "Submit the job in a JSON file and print the answer.",
    "cancel": "Cancel one job, or every job of a service with a label.",
    "show": "Print the configuration with its version.",
    "patch": "Patch the configuration against its version (RFC 7396).",
    "status": "Print the state of the entry that answers.",
}
_ServeFlags = _flags.make_flags(_settings.EntrySettings)


def run_command(arguments: list[str] | None = None) -> None:
    """Run the command in ``arguments``, by default those of the process."""
    try:
        app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(_exit_statuses.ExitStatus.SETTINGS)


@app.command
def serve(
    flags: Annotated[_ServeFlags | None, cyclopts.Parameter(name="*")] = None,
    *,
    check_settings: Annotated[
        bool,
        cyclopts.Parameter(negative="", help="check the settings and exit"),
    ] = False,
) -> None:
    """Run an entry until it is stopped."""
    given = {
        setting.field: getattr(flags, setting.field, None)
        for setting in core.describe_settings(_settings.EntrySettings)
    }
    try:
        settings = core.load_settings(
            _settings.EntrySettings, given, os.environ
        )
    except core.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(_exit_statuses.ExitStatus.SETTINGS)
    if check_settings:
        return
    startup.clear_generated_sources()
    # Imported here so that other commands don't load an entry's libraries.
    from cowslipgate_entry import _process

    _process.run_entry(settings)


# Given by name, so that cyclopts imports them only when one is used and an
# entry doesn't load their libraries.
for _name, _help in _CALLER_COMMANDS.items():
    app.command(
        f"cowslipgate_entry.commands._commands:{_name}", name=_name, help=_help
    )

app.command(
    "cowslipgate_entry.commands._configuration_check:check_configuration",
    name="check-configuration",
    help="Check a configuration and print what is wrong and what differs.",
)
