"""Logs of rows and messages that name nothing."""

from collections.abc import Iterable

import circuits

import cowslipgate_core as core
from cowslipgate_transport import _changes
from cowslipgate_transport import _logs

MAX_LOGGED = 100
"""Rows of one answer that are logged, which bounds the set of known ones."""

MAX_KINDS = 100
"""Kinds of invalid messages that are logged, each once."""


class RowsPassedOver:
    """Writes a line for each row passed over, not again with each read.

    :param component: component that reads the rows
    """

    def __init__(self, component: circuits.BaseComponent) -> None:
        self._component = component
        self._known: dict[str, frozenset[core.RowFault]] = {}

    def log(self, table: str, faults: Iterable[core.RowFault]) -> None:
        """Log the faults of an answer that the answer before did not have."""
        current = list(dict.fromkeys(faults))[:MAX_LOGGED]
        known = self._known.get(table, frozenset())
        for fault in current:
            if fault in known:
                continue
            change = _changes.RowPassedOver(
                table, fault.key, fault.version, fault.problem
            )
            self._component.fire(_changes.changed(change), _logs.CHANNEL)
        self._known[table] = frozenset(current)


class MessagesPassedOver:
    """Writes a line for each kind of invalid message, once.

    :param component: component that learns of the messages
    """

    def __init__(self, component: circuits.BaseComponent) -> None:
        self._component = component
        self._known: set[_changes.Change] = set()

    def log(self, change: _changes.Change) -> None:
        """Log a change unless it was logged or MAX_KINDS others were."""
        if change in self._known or len(self._known) >= MAX_KINDS:
            return
        self._known.add(change)
        self._component.fire(_changes.changed(change), _logs.CHANNEL)

    def log_malformed(self, error: core.WireError) -> None:
        """Log a message that cannot be decoded."""
        kind = error.kind.decode(errors="replace")
        self.log(_changes.MessagePassedOver(kind, error.problem))
