"""What targets offer and tasks take, as messages carry it."""

import attrs
import msgspec

from cowslipgate_core.messages import _fields


@attrs.frozen
class Resources:
    """What a target offers or a task needs."""

    memory_mb: _fields.Count = 0
    """Memory in MB."""

    accelerators: _fields.Count = 0
    """Number of accelerators."""

    millicores: _fields.Count = 0
    """Processor time in thousandths of a core."""

    labels: tuple[_fields.Text, ...] = ()
    """Labels that a target has or a task requires, its rack among them."""


Room = Resources | msgspec.UnsetType
"""What all tasks of a target share; unset when slots alone bound them."""


@attrs.frozen
class Load:
    """How busy an agent's target is."""

    slots: _fields.Count
    """Slots open to work now, after quarantine and leaving."""

    own: _fields.Count
    """Tasks running or queued for the entry that is addressed."""

    others: _fields.Count
    """Tasks running or queued for all other entries."""

    others_use: Resources = Resources()
    """What the tasks of all other entries take of the room."""
