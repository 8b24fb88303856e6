"""Generator of the settings page from the settings classes."""

import pathlib

import cowslipgate_agent
import cowslipgate_core as core
import cowslipgate_entry

PAGE = pathlib.Path("docs/SETTINGS.md")
_HEAD = """# Settings

Written by `make settings-page` from the settings' classes; a test compares.
Each setting is a flag and an environment variable, and the flag goes first.
Both binaries report every fault at once, with name, value and what is
allowed, and exit with status 2; `--check-settings` checks and exits. Secrets
belong in the environment, since flags show in the list of processes.
"""
_PARTS = (
    ("cowslipgate serve", cowslipgate_entry.EntrySettings),
    ("cowslipgate-agent", cowslipgate_agent.AgentSettings),
)


def render_page() -> str:
    """Return the page in Markdown."""
    lines = [_HEAD]
    for binary, cls in _PARTS:
        lines.append(f"## `{binary}`\n")
        lines.append(
            "| flag and variable | what it does | allowed | default |"
        )
        lines.append("|---|---|---|---|")
        lines.extend(
            _render_row(setting) for setting in core.describe_settings(cls)
        )
        lines.append("")
    return "\n".join(lines)


def _render_row(setting: core.SettingDescription) -> str:
    default = "required"
    if setting.default is not None:
        default = f"`{setting.default}`" if setting.default else "empty"
    return (
        f"| `{setting.flag}` `{setting.variable}` | {setting.description} "
        f"| {setting.allowed} | {default} |"
    )


def write_page() -> None:
    """Write the page; the working directory must be the repository's root."""
    PAGE.write_text(render_page())
