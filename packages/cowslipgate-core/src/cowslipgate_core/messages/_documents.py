"""Messages that carry the configuration and its versions."""

import attrs

from cowslipgate_core.messages import _fields


@attrs.frozen
class ConfigurationPush:
    """A configuration sent to another entry."""

    entry: int
    """Incarnation of the sending entry."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed with zlib."""


@attrs.frozen
class ConfigurationRequest:
    """A request to another entry for its configuration."""

    entry: int
    """Incarnation of the sending entry."""


@attrs.frozen
class ConfigurationAcknowledge:
    """Acknowledgement that a version is in force at the sender."""

    entry: int
    """Incarnation of the sending entry."""

    version: int
    """The version in force."""


@attrs.frozen
class RelayRequest:
    """An agent's request for an entry's configuration, for another entry."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    asker: int
    """Incarnation of the entry that needs the configuration."""


@attrs.frozen
class ConfigurationRelay:
    """A configuration for an agent to forward to another entry."""

    entry: int
    """Incarnation of the sending entry."""

    asker: int
    """Incarnation of the entry that needs the configuration."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed with zlib."""


@attrs.frozen
class RelayedConfiguration:
    """A configuration of another entry, forwarded by an agent."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    version: int
    """Version of the document."""

    document: bytes
    """The document in JSON, compressed with zlib."""
