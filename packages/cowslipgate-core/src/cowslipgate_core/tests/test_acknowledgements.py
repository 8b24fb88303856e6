"""Tests of acknowledgements that wait for a message to ride on."""

import cowslipgate_core as core
from cowslipgate_core.tests import builders


def test_taken_acknowledgements_are_not_taken_again() -> None:
    pending = core.Acknowledgements()
    pending.add("agent-1", [1, 2], builders.NOW)
    pending.add("agent-1", [3], builders.NOW)
    assert pending.take("agent-1") == (1, 2, 3)
    assert pending.take("agent-1") == ()
    assert pending.list_agents() == []


def test_acknowledgement_is_overdue_by_its_oldest_outcome() -> None:
    pending = core.Acknowledgements()
    pending.add("agent-1", [1], builders.NOW)
    later = builders.NOW + core.ACKNOWLEDGE_WITHIN
    pending.add("agent-1", [2], later)
    pending.add("agent-2", [1], later)
    assert pending.list_overdue(later) == ["agent-1"]
