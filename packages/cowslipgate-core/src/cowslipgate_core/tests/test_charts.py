"""Tests of the chart interpreter."""

import cowslipgate_core as core
import pytest


@pytest.mark.parametrize(
    ("text", "state", "event"),
    [
        ('initial = "a"', "a", ""),
        ('initial = "a"\n[states.a.on]\ngo = "b"', "a", "go"),
        ('initial = "a"\n[states.a]\n[states.b]', "b", ""),
        ('initial = "a"\n[states.a]\nfinal = true\non = {go = "a"}', "a", ""),
        ('initial = "a"\n[states.a]\nslots = 1', "a", ""),
        ("initial =", "", ""),
    ],
)
def test_parse_error_has_state_and_event_of_the_fault(
    text: str, state: str, event: str
) -> None:
    with pytest.raises(core.ChartError) as raised:
        core.parse_chart("broken", text)
    assert (raised.value.state, raised.value.event) == (state, event)


@pytest.mark.parametrize(
    "name", ["job", "attempt", "target", "entry", "configuration"]
)
def test_shipped_charts_load(name: str) -> None:
    assert core.load_chart(name).name == name


def test_event_without_a_transition_is_an_error() -> None:
    machine = core.StateMachine(core.load_chart("job"))
    with pytest.raises(core.ChartError):
        machine.fire("settle")
