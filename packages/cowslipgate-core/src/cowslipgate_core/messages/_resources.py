"""Resources and load of targets, as sent in messages."""

import attrs
import msgspec

from cowslipgate_core.messages import _fields


@attrs.frozen
class Resources:
    """Resources that a target offers or a task needs."""

    memory_mb: _fields.Count = 0
    """Memory in MB."""

    accelerators: _fields.Count = 0
    """Number of accelerators."""

    millicores: _fields.Count = 0
    """Processor time in thousandths of a core."""

    labels: tuple[_fields.Text, ...] = ()
    """Labels that a target has or a task requires, such as its rack."""


Room = Resources | msgspec.UnsetType
"""Resources that all tasks of a target share; unset when only slots limit
them."""


@attrs.frozen
class Load:
    """Load of an agent's target, for one receiving entry."""

    slots: _fields.Count
    """Slots that accept tasks now; quarantine and departure reduce them."""

    own: _fields.Count
    """Tasks running or queued for the receiving entry."""

    others: _fields.Count
    """Tasks running or queued for all other entries."""

    others_use: Resources = Resources()
    """Resources of the room that the tasks of all other entries use."""
