"""Tests of how interfering routes are logged and counted.

The pair is given by hand; the detection has tests of its own in core.
"""

import circuits
import pytest

import cowslipgate_core as core
from cowslipgate_core.tests import interference_builders
from cowslipgate_entry import _events
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.tests import observer_builders
import cowslipgate_transport as transport


def _fire(
    root: circuits.BaseComponent, event: circuits.Event, channel: str
) -> None:
    root.fire(event, channel)
    while len(root):
        root.flush()


def test_pair_is_logged_when_found_and_when_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    lines = observer_builders.Lines().register(root)
    log = _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)

    def list_pairs(found: core.Interference) -> list[_changes.Change]:
        lines.changes.clear()
        monkeypatch.setattr(core.Ledger, "interference", found)
        for _ in range(_state_change_log.AGENT_CHECK_TICKS):
            _fire(root, circuits.Event.create("tick"), log.channel)
        kinds = _changes.InterferenceFound | _changes.InterferenceGone
        return [each for each in lines.changes if isinstance(each, kinds)]

    found = interference_builders.build_found("draw", "tag")
    (pair,) = found.pairs.values()
    values = ("draw", "tag", round(pair.slowdown, 3), round(pair.runs))
    assert list_pairs(found) == [_changes.InterferenceFound(*values)]
    assert list_pairs(found) == []
    gone = core.Interference()
    assert list_pairs(gone) == [_changes.InterferenceGone(*values)]


def test_pairs_and_changed_placements_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = observer_builders.build_harness()
    found = interference_builders.build_found("draw", "tag")
    found.separated = 3
    monkeypatch.setattr(core.Ledger, "interference", found)
    metrics = _metrics.Metrics(
        harness.dispatcher, observer_builders.Server(), harness.clock
    )
    metrics.render()
    text = metrics.render().decode()
    assert "cowslipgate_interfering_pairs 1\n" in text
    assert "cowslipgate_separated_placements_total 3\n" in text


def test_feature_is_logged_for_the_service_that_enables_it() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    lines = observer_builders.Lines().register(root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)
    for version, enabled in ((1, False), (2, True), (3, True)):
        document = {"services": {"print": {"separate_kinds": enabled}}}
        configuration = core.parse_configuration(version, document)
        _fire(
            root,
            _events.configuration_adopted(configuration),
            _events.GATEWAY,
        )
    feature = transport.FeatureEnabled(
        "separate-kinds", "$.services.print.separate_kinds"
    )
    assert lines.changes.count(feature) == 1
