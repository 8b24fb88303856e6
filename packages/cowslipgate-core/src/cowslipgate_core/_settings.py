"""Settings from flags and environment variables, checked all at once.

A settings class is an ``attrs`` class whose fields are made by ``setting``.
The field ``bind_http`` is the flag ``--bind-http`` and the environment
variable ``COWSLIPGATE_BIND_HTTP``.
"""

import datetime
import enum
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from cowslipgate_core import _exceptions

ENVIRONMENT_PREFIX = "COWSLIPGATE_"
MAX_PORT = 65_535
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_T = TypeVar("_T")


class Sentinel(enum.Enum):
    """Values that no setting can have."""

    REQUIRED = "required"


REQUIRED = Sentinel.REQUIRED


@attrs.frozen
class Bind:
    """An IP number with a port to listen on or to connect to."""

    host: str
    """IP number."""

    port: int
    """TCP port; zero lets the system choose."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def setting(
    parse: Callable[[str], Any],
    allowed: str,
    description: str,
    default: str | Sentinel = REQUIRED,
) -> Any:
    """Return a field for a settings class.

    :param parse: turns the text into a value or raises ValueError
    :param allowed: tells the user what values are allowed
    :param description: tells the user what the setting does
    :param default: text used when neither flag nor variable is given
    """
    return attrs.field(
        metadata={
            "parse": parse,
            "allowed": allowed,
            "description": description,
            "default": default,
        }
    )


def load_settings(
    cls: type[_T],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> _T:
    """Return the settings; a flag goes before its environment variable.

    :param cls: settings class
    :param flags: text by field name, None where no flag was given
    :raises SettingsError: with every fault found
    """
    values = {}
    faults = []
    for field in attrs.fields(cls):
        variable = ENVIRONMENT_PREFIX + field.name.upper()
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable, field.metadata["default"])
        try:
            if text is REQUIRED:
                raise ValueError("missing")
            values[field.name] = field.metadata["parse"](text)
        except ValueError:
            value = "" if text is REQUIRED else str(text)
            fault = _exceptions.SettingFault(
                name_flag(field.name), value, field.metadata["allowed"]
            )
            faults.append(fault)
    if faults:
        raise _exceptions.SettingsError(tuple(faults))
    return cls(**values)


def name_flag(field: str) -> str:
    """Return the flag of a field."""
    return "--" + field.replace("_", "-")


def parse_bind(text: str) -> Bind:
    """Parse ``host:port``.

    :raises ValueError: when it is something else
    """
    host, _, port = text.rpartition(":")
    if not re.fullmatch(r"\d+\.\d+\.\d+\.\d+", host):
        raise ValueError(text)
    if not 0 <= int(port) <= MAX_PORT:
        raise ValueError(text)
    return Bind(host, int(port))


def parse_advertised(text: str) -> str:
    """Return the ZeroMQ address for ``host:port``, or ``""`` for nothing.

    :raises ValueError: when it is something else
    """
    return f"tcp://{parse_bind(text)}" if text else ""


def parse_duration(text: str) -> datetime.timedelta:
    """Parse a duration such as ``500ms`` or ``2s``.

    :raises ValueError: when it is something else or not positive
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h)", text)
    if match is None or float(match[1]) <= 0:
        raise ValueError(text)
    return datetime.timedelta(seconds=float(match[1]) * _UNITS[match[2]])


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, dots, dashes and underscores.

    :raises ValueError: when it is something else
    """
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", text):
        raise ValueError(text)
    return text


def parse_count(text: str) -> int:
    """Parse a whole number, zero or more.

    :raises ValueError: when it is something else
    """
    if not text.isascii() or not text.isdigit():
        raise ValueError(text)
    return int(text)


def parse_digest(text: str) -> str:
    """Parse a SHA-256 digest in hexadecimal, or the empty text.

    :raises ValueError: when it is something else
    """
    if text and not re.fullmatch(r"[0-9a-f]{64}", text):
        raise ValueError(text)
    return text


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts one of ``choices``."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse
