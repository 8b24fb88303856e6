"""Interpreter of the state charts kept in ``charts/*.toml``."""

import functools
import pkgutil
import tomllib
from typing import Any

import attrs

from cowslipgate_core import _exceptions


@attrs.frozen
class State:
    """One state of a chart."""

    name: str
    """Name of the state."""

    transitions: dict[str, str]
    """Next state by event."""

    final: bool
    """Whether a machine ends in this state."""

    attributes: dict[str, str]
    """Other attributes of the state by name, such as ``started``."""


@attrs.frozen
class Chart:
    """A validated state chart."""

    name: str
    """Name of the chart file without its extension."""

    initial: str
    """Initial state of a machine."""

    states: dict[str, State]
    """States by name."""

    def get_next_state(self, state: str, event: str) -> str:
        """Return the state after ``event`` in ``state``.

        :raises ChartError: when the chart has no such transition
        """
        next_state = self.states[state].transitions.get(event)
        if next_state is None:
            raise _exceptions.ChartError(
                self.name, state, event, "no such transition"
            )
        return next_state

    def allows(self, state: str, event: str) -> bool:
        """Return whether ``state`` has a transition for ``event``."""
        return event in self.states[state].transitions

    def get_attribute(self, state: str, attribute: str) -> str:
        """Return a string attribute of ``state``.

        :raises ChartError: when the state lacks the attribute
        """
        value = self.states[state].attributes.get(attribute)
        if value is None:
            raise _exceptions.ChartError(
                self.name, state, "", f"has no attribute {attribute!r}"
            )
        return value


@attrs.define
class StateMachine:
    """A chart with the current state of one object."""

    chart: Chart
    """The chart that defines the states."""

    state: str = attrs.field()
    """Current state."""

    @state.default
    def _choose_initial(self) -> str:
        return self.chart.initial

    @property
    def final(self) -> bool:
        """Whether the machine has ended."""
        return self.chart.states[self.state].final

    def fire(self, event: str) -> None:
        """Change to the state after ``event``.

        :raises ChartError: when the chart has no such transition
        """
        self.state = self.chart.get_next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Return whether the current state has a transition for ``event``."""
        return self.chart.allows(self.state, event)

    def get_attribute(self, attribute: str) -> str:
        """Return a string attribute of the current state."""
        return self.chart.get_attribute(self.state, attribute)


@functools.cache
def load_chart(name: str) -> Chart:
    """Load and validate the chart ``name`` of this package.

    :raises ChartError: when the file is missing or cannot be interpreted
    """
    try:
        data = pkgutil.get_data("cowslipgate_core", f"charts/{name}.toml")
    except OSError as error:
        raise _exceptions.ChartError(name, "", "", str(error)) from error
    return parse_chart(name, data.decode())


def parse_chart(name: str, text: str) -> Chart:
    """Validate the chart in ``text`` (TOML) and return it.

    :raises ChartError: with the chart, state and event of the first fault
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise _exceptions.ChartError(name, "", "", str(error)) from error
    tables = document.get("states", {})
    states = {key: _parse_state(name, key, tables[key]) for key in tables}
    chart = Chart(name, document.get("initial", ""), states)
    _check_transitions(chart)
    _check_reachable(chart)
    return chart


def _parse_state(chart: str, name: str, table: dict[str, Any]) -> State:
    attributes = {k: v for k, v in table.items() if k not in ("on", "final")}
    for key, value in attributes.items():
        if not isinstance(value, str):
            raise _exceptions.ChartError(
                chart, name, "", f"attribute {key!r} must be a string"
            )
    transitions = table.get("on", {})
    return State(name, transitions, table.get("final", False), attributes)


def _check_transitions(chart: Chart) -> None:
    if chart.initial not in chart.states:
        raise _exceptions.ChartError(
            chart.name, chart.initial, "", "initial state is not defined"
        )
    for state in chart.states.values():
        if state.final and state.transitions:
            raise _exceptions.ChartError(
                chart.name, state.name, "", "final state has transitions"
            )
        for event, target in state.transitions.items():
            if target not in chart.states:
                raise _exceptions.ChartError(
                    chart.name, state.name, event, f"unknown state {target!r}"
                )


def _check_reachable(chart: Chart) -> None:
    reached = {chart.initial}
    pending = [chart.initial]
    while pending:
        state = chart.states[pending.pop()]
        fresh = set(state.transitions.values()) - reached
        reached |= fresh
        pending.extend(fresh)
    for name in chart.states:
        if name not in reached:
            raise _exceptions.ChartError(
                chart.name, name, "", "state cannot be reached"
            )
