"""Log of the store's rows that name nothing."""

from collections.abc import Iterable

import circuits

import cowslipgate_core as core
from cowslipgate_transport import _changes
from cowslipgate_transport import _logs

MAX_LOGGED = 100
"""Rows of one answer that are logged, which bounds the set of known ones."""


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
