"""Command line of ``cowslipgate-agent``."""

import argparse
import os
import sys

import attrs

from cowslipgate_agent import _process
from cowslipgate_agent import _settings
import cowslipgate_core as core

EXIT_SETTINGS = 2


def run_agent() -> None:
    """Read the settings and run the agent until it is told to stop."""
    parser = argparse.ArgumentParser(
        "cowslipgate-agent", description="Runs beside each target."
    )
    for field in attrs.fields(_settings.AgentSettings):
        parser.add_argument(
            core.name_flag(field.name), help=field.metadata["description"]
        )
    flags = vars(parser.parse_args())
    try:
        settings = core.load_settings(
            _settings.AgentSettings, flags, os.environ
        )
    except core.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    _process.build_agent(settings, core.SystemClock()).run()
