"""Tests of pending acknowledgements."""

import cowslipgate_core as core
from cowslipgate_core.tests import builders


def test_each_acknowledgement_is_taken_once() -> None:
    pending = core.Acknowledgements()
    pending.add("agent-1", [1, 2], builders.NOW)
    pending.add("agent-1", [3], builders.NOW)
    assert pending.take("agent-1") == (1, 2, 3)
    assert pending.take("agent-1") == ()
    assert pending.list_agents() == []


def test_oldest_outcome_makes_an_acknowledgement_overdue() -> None:
    pending = core.Acknowledgements()
    pending.add("agent-1", [1], builders.NOW)
    later = builders.NOW + core.ACKNOWLEDGE_WITHIN
    pending.add("agent-1", [2], later)
    pending.add("agent-2", [1], later)
    assert pending.list_overdue(later) == ["agent-1"]
