"""Settings from flags and environment variables, checked all at once.

A settings class is an ``attrs`` class whose fields are made by ``setting``.
The field ``bind_http`` is the flag ``--bind-http`` and the environment
variable ``COWSLIPGATE_BIND_HTTP``.
"""

import datetime
import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from cowslipgate_core import _exceptions

ENVIRONMENT_PREFIX = "COWSLIPGATE_"
MAX_PORT = 65_535
HIDDEN = "(hidden)"
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_CURVE_KEY = r"[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}"
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
    secret: bool = False,
) -> Any:
    """Return a field for a settings class.

    :param parse: turns the text into a value or raises ValueError
    :param allowed: tells the user what values are allowed
    :param description: tells the user what the setting does
    :param default: text used when neither flag nor variable is given
    :param secret: whether the value is kept out of messages
    """
    return attrs.field(
        metadata={
            "parse": parse,
            "allowed": allowed,
            "description": description,
            "default": default,
            "secret": secret,
        }
    )


@attrs.frozen
class SettingDescription:
    """What users are told of one setting."""

    field: str
    """Name of the field."""

    flag: str
    """Flag."""

    variable: str
    """Environment variable."""

    allowed: str
    """Values that are allowed."""

    description: str
    """What it does."""

    default: str | None
    """Text used when nothing is given, or None when it is required."""


def describe_settings(cls: type) -> tuple[SettingDescription, ...]:
    """Return what users are told of each setting of a class."""
    return tuple(
        SettingDescription(
            field.name,
            name_flag(field.name),
            name_variable(field.name),
            field.metadata["allowed"],
            field.metadata["description"],
            _get_default(field),
        )
        for field in attrs.fields(cls)
    )


def _get_default(field: Any) -> str | None:
    default = field.metadata["default"]
    return None if default is REQUIRED else default


def load_settings(
    cls: type[_T],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> _T:
    """Return the settings; a flag goes before its environment variable.

    A class may check its fields against each other in ``find_faults``, which
    returns what it finds.

    :param cls: settings class
    :param flags: text by field name, None where no flag was given
    :raises SettingsError: with every fault found
    """
    values = {}
    faults = []
    for field in attrs.fields(cls):
        text = flags.get(field.name)
        if text is None:
            variable = name_variable(field.name)
            text = environ.get(variable, field.metadata["default"])
        try:
            if text is REQUIRED:
                raise ValueError("missing")
            values[field.name] = field.metadata["parse"](text)
        except ValueError:
            faults.append(_make_fault(field, text))
    if faults:
        raise _exceptions.SettingsError(tuple(faults))
    settings = cls(**values)
    if isinstance(settings, CheckedSettings):
        faults = settings.find_faults()
    if faults:
        raise _exceptions.SettingsError(tuple(faults))
    return settings


class CheckedSettings:
    """Settings whose fields are checked against each other."""

    __slots__ = ()

    def find_faults(self) -> list[_exceptions.SettingFault]:
        """Return what is wrong with the fields taken together."""
        return []


def _make_fault(field: Any, text: str | Sentinel) -> _exceptions.SettingFault:
    value = "" if text is REQUIRED else str(text)
    if field.metadata["secret"] and value:
        value = HIDDEN
    return _exceptions.SettingFault(
        name_flag(field.name), value, field.metadata["allowed"]
    )


def name_variable(field: str) -> str:
    """Return the environment variable of a field."""
    return ENVIRONMENT_PREFIX + field.upper()


def name_flag(field: str) -> str:
    """Return the flag of a field."""
    return "--" + field.replace("_", "-")


def parse_bind(text: str) -> Bind:
    """Parse ``host:port``.

    :raises ValueError: when it is something else
    """
    host, _, port = text.rpartition(":")
    number = parse_count(port)
    if number > MAX_PORT:
        raise ValueError(text)
    return Bind(str(ipaddress.IPv4Address(host)), number)


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


def parse_positive(text: str) -> int:
    """Parse a whole number, one or more.

    :raises ValueError: when it is something else
    """
    count = parse_count(text)
    if count < 1:
        raise ValueError(text)
    return count


def parse_fraction(text: str) -> float:
    """Parse a number from 0 to 1.

    :raises ValueError: when it is something else
    """
    fraction = float(text)
    if not 0.0 <= fraction <= 1.0:
        raise ValueError(text)
    return fraction


def parse_text(text: str) -> str:
    """Accept any text."""
    return text


def parse_curve_key(text: str) -> str:
    """Parse a ZeroMQ key of 40 characters in Z85, or the empty text.

    :raises ValueError: when it is something else
    """
    if text and not re.fullmatch(_CURVE_KEY, text):
        raise ValueError(text)
    return text


def parse_curve_keys(text: str) -> tuple[str, ...]:
    """Parse keys separated by blanks.

    :raises ValueError: when one of them is something else
    """
    return tuple(parse_curve_key(key) for key in text.split())


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
