"""Records that the executor takes in and the actions that it returns."""

import attrs
import msgspec

from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _resources


@attrs.frozen
class AttemptKey:
    """Names an attempt over all entries."""

    entry: int
    """Incarnation of the entry."""

    attempt: int
    """Sequence number at the entry."""


@attrs.frozen
class Announcement:
    """What a target announces of itself."""

    service: str
    """Service that the target belongs to."""

    address: str
    """Address of the target, ``http://host:port``."""

    slots: int
    """Tasks that may run at once."""

    connections: int
    """Connections that may be open."""

    resources: _resources.Resources = _resources.Resources()
    """What one task may use."""

    room: _resources.Room = msgspec.UNSET
    """What all tasks share."""

    life: str = ""
    """Tells one life of the target from another at the same address."""


@attrs.frozen
class StartTask:
    """ExecutorAction: call the target."""

    key: AttemptKey
    """The attempt."""

    order: _attempts.Order
    """What to run."""


@attrs.frozen
class StopTask:
    """ExecutorAction: tell the target to stop a task."""

    key: AttemptKey
    """The attempt."""

    task: str
    """Id of the task at the target."""


@attrs.frozen
class SendReports:
    """ExecutorAction: tell an entry the outcomes of attempts."""

    entry: int
    """Incarnation of the entry."""

    reports: tuple[_attempts.AttemptReport, ...]
    """The outcomes."""


ExecutorAction = StartTask | StopTask | SendReports
