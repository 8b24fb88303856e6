"""Messages that carry the configuration and its versions."""

import attrs

from cowslipgate_core.messages import _fields


@attrs.frozen
class ConfigurationPush:
    """A configuration for another entry."""

    entry: int
    """Incarnation of the sender."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""


@attrs.frozen
class ConfigurationRequest:
    """Asks an entry for its configuration."""

    entry: int
    """Incarnation of the sender."""


@attrs.frozen
class ConfigurationAcknowledge:
    """Tells that a version is in force at the sender."""

    entry: int
    """Incarnation of the sender."""

    version: int
    """The version in force."""


@attrs.frozen
class RelayRequest:
    """An agent asks an entry for its configuration on another's behalf."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    asker: int
    """Incarnation of the entry that wants it."""


@attrs.frozen
class ConfigurationRelay:
    """A configuration that an agent is to pass on to another entry."""

    entry: int
    """Incarnation of the sender."""

    asker: int
    """Incarnation of the entry that wants it."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""


@attrs.frozen
class RelayedConfiguration:
    """A configuration of another entry, passed on by an agent."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed."""
