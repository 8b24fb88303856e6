"""Command line of ``cowslipgate-agent``."""

import argparse
import os
import sys

from cowslipgate_agent import _process
from cowslipgate_agent import _settings
import cowslipgate_core as core

EXIT_FAILED = 1
EXIT_SETTINGS = 2


def run() -> None:
    """Read the settings and run the agent until a signal stops it.

    Exit with 2 when a setting is invalid, with 1 when the agent cannot start.
    """
    parser = argparse.ArgumentParser(
        "cowslipgate-agent", description="Runs beside each target."
    )
    for setting in core.describe_settings(_settings.AgentSettings):
        parser.add_argument(setting.flag, help=_describe_setting(setting))
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings and exit",
    )
    flags = vars(parser.parse_args())
    check_settings = flags.pop("check_settings")
    try:
        settings = core.load_settings(
            _settings.AgentSettings, flags, os.environ
        )
    except core.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if not check_settings:
        _run(settings)


def _run(settings: _settings.AgentSettings) -> None:
    try:
        process = _process.build_agent(settings, core.SystemClock())
    except (OSError, core.CowslipgateError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    process.run()


def _describe_setting(setting: core.SettingDescription) -> str:
    default = "required"
    if setting.default is not None:
        default = f"default {setting.default or 'empty'}"
    text = f"{setting.description}: {setting.allowed}; {default}"
    return f"{text} [{setting.variable}]".replace("%", "%%")
