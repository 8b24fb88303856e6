"""Messages about the evacuation of failure domains."""

from typing import Annotated

import attrs
import msgspec

from cowslipgate_core.configuration import _evacuations
from cowslipgate_core.messages import _fields

_Domains = Annotated[
    tuple[_fields.Text, ...],
    msgspec.Meta(max_length=_evacuations.MAX_EVACUATED),
]


@attrs.frozen
class EvacuationNotice:
    """The evacuated domains that an entry knows, sent to an agent."""

    entry: _fields.Count
    """Incarnation of the sending entry."""

    version: _fields.Count
    """Version of the set."""

    domains: _Domains = ()
    """Evacuated domains in order."""


@attrs.frozen
class EvacuationHeld:
    """The newest set of evacuated domains that an agent knows."""

    agent: _fields.Text
    """Name of the agent."""

    incarnation: _fields.Count
    """Incarnation of the agent process."""

    version: _fields.Count
    """Version of the set."""

    domains: _Domains = ()
    """Evacuated domains in order."""
