"""Input records of the executor and the actions that it returns."""

import datetime

import attrs
import msgspec

from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _resources


@attrs.frozen
class AttemptKey:
    """Identifier of an attempt that is unique across entries."""

    entry: int
    """Incarnation of the entry."""

    attempt: int
    """Sequence number at the entry."""


@attrs.frozen
class Announcement:
    """Address and capacity that a target announces."""

    service: _fields.Text
    """Service that the target belongs to."""

    address: str
    """Address of the target, ``http://host:port``."""

    slots: _fields.Count
    """Tasks that may run at once."""

    connections: _fields.Count
    """Connections that may be open."""

    resources: _resources.Resources = _resources.Resources()
    """Resources that one task may use."""

    room: _resources.Room = msgspec.UNSET
    """Resources that all tasks share, or unset."""

    life: str = ""
    """Identifier of the target's incarnation, or empty if it gives none."""


@attrs.frozen
class StartTask:
    """ExecutorAction: call the target."""

    key: AttemptKey
    """The attempt."""

    order: _attempts.Order
    """Task and payload to run."""


@attrs.frozen
class StopTask:
    """ExecutorAction: ask the target to stop a task."""

    key: AttemptKey
    """The attempt."""

    task: str
    """Id of the task at the target."""

    unseen_for: datetime.timedelta | None = None
    """Age of the sign that the attempt rests on, if that is the reason."""

    superseded_by: int = 0
    """Number of the run that its task was ordered again with, if that is the
    reason; zero otherwise."""


@attrs.frozen
class SendReports:
    """ExecutorAction: send the outcomes of attempts to an entry."""

    entry: int
    """Incarnation of the entry."""

    reports: tuple[_attempts.AttemptReport, ...]
    """The outcomes."""


ExecutorAction = StartTask | StopTask | SendReports
