"""Command-line flags generated from a settings class."""

from typing import Annotated

import attrs
import cyclopts

import cowslipgate_core as core


def make_flags(cls: type) -> type:
    """Return a class with an optional string for each setting of ``cls``."""
    fields = {
        setting.field: attrs.field(
            default=None,
            kw_only=True,
            type=Annotated[
                str | None,
                cyclopts.Parameter(
                    help=_describe_setting(setting), show_default=False
                ),
            ],
        )
        for setting in core.describe_settings(cls)
    }
    return attrs.make_class(f"{cls.__name__}Flags", fields, frozen=True)


def _describe_setting(setting: core.SettingDescription) -> str:
    default = "required"
    if setting.default is not None:
        default = f"default {setting.default or 'empty'}"
    return (
        f"{setting.description}: {setting.allowed}; {default} "
        f"[{setting.variable}]"
    )
