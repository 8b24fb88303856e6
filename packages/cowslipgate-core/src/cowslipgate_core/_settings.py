"""Settings from flags and environment variables, validated together.

A settings class is an ``attrs`` class whose fields are made by ``setting``.
The field ``bind_http`` has the flag ``--bind-http`` and the environment
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
    """Markers that are distinct from every value of a setting."""

    REQUIRED = "required"


REQUIRED = Sentinel.REQUIRED


@attrs.frozen
class Bind:
    """An IPv4 address and a port to listen on or to connect to."""

    host: str
    """IPv4 address."""

    port: int
    """TCP port; zero lets the operating system choose one."""

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

    :param parse: returns the value of a text or raises ValueError
    :param allowed: values that are allowed, for the user
    :param description: purpose of the setting, for the user
    :param default: text used when neither flag nor variable is given;
        without it the setting is required
    :param secret: whether the value is hidden in messages
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
    """Description of one setting for users."""

    field: str
    """Name of the field."""

    flag: str
    """Flag, such as ``--bind-http``."""

    variable: str
    """Environment variable, such as ``COWSLIPGATE_BIND_HTTP``."""

    allowed: str
    """Description of the values that are allowed."""

    description: str
    """Purpose of the setting."""

    default: str | None
    """Text used when none is given, or None for a required setting."""


def describe_settings(cls: type) -> tuple[SettingDescription, ...]:
    """Return the descriptions of the settings of a class."""
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
    """Return the settings; a flag overrides its environment variable.

    A ``CheckedSettings`` class also validates combinations of its fields.

    :param cls: settings class
    :param flags: text by field name, None where no flag was given
    :param environ: environment variables
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
    """Base of settings with constraints between their fields."""

    __slots__ = ()

    def find_faults(self) -> list[_exceptions.SettingFault]:
        """Return the violated constraints; to be overridden."""
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
    """Parse ``host:port`` with an IPv4 address as the host.

    :raises ValueError: when the text is not of this form
    """
    host, _, port = text.rpartition(":")
    number = parse_count(port)
    if number > MAX_PORT:
        raise ValueError(text)
    return Bind(str(ipaddress.IPv4Address(host)), number)


def parse_advertised(text: str) -> str:
    """Return the ZeroMQ address for ``host:port``, or ``""`` for ``""``.

    :raises ValueError: when the text is not of this form
    """
    return f"tcp://{parse_bind(text)}" if text else ""


def parse_duration(text: str) -> datetime.timedelta:
    """Parse a duration such as ``500ms`` or ``2s``.

    :raises ValueError: when the text is not of this form or not positive
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h)", text)
    if match is None or float(match[1]) <= 0:
        raise ValueError(text)
    return datetime.timedelta(seconds=float(match[1]) * _UNITS[match[2]])


def parse_name(text: str) -> str:
    """Parse a name: 1 to 64 letters, digits, dots, dashes, underscores.

    :raises ValueError: when the text is not of this form
    """
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", text):
        raise ValueError(text)
    return text


def parse_count(text: str) -> int:
    """Parse an integer of zero or more.

    :raises ValueError: when the text is not of this form
    """
    if not text.isascii() or not text.isdigit():
        raise ValueError(text)
    return int(text)


def parse_positive(text: str) -> int:
    """Parse an integer of one or more.

    :raises ValueError: when the text is not of this form
    """
    count = parse_count(text)
    if count < 1:
        raise ValueError(text)
    return count


def parse_fraction(text: str) -> float:
    """Parse a number from 0 to 1.

    :raises ValueError: when the text is not of this form
    """
    fraction = float(text)
    if not 0.0 <= fraction <= 1.0:
        raise ValueError(text)
    return fraction


def parse_text(text: str) -> str:
    """Return ``text`` unchanged; every text is valid."""
    return text


def parse_curve_key(text: str) -> str:
    """Parse a CURVE key of 40 characters in Z85, or the empty text.

    :raises ValueError: when the text is not of this form
    """
    if text and not re.fullmatch(_CURVE_KEY, text):
        raise ValueError(text)
    return text


def parse_curve_keys(text: str) -> tuple[str, ...]:
    """Parse CURVE keys separated by white space.

    :raises ValueError: when one of them is not a CURVE key
    """
    return tuple(parse_curve_key(key) for key in text.split())


def parse_digest(text: str) -> str:
    """Parse a SHA-256 digest in hexadecimal, or the empty text.

    :raises ValueError: when the text is not of this form
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
