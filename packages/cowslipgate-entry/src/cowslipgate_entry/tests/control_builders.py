"""Test data and harness for components of the control plane."""

import attrs
import circuits
import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.tests import builders

CONFIGURATION = {"services": {"print": {}}, "teams": {"hall": {"slots": 6}}}


class Recorder(circuits.BaseComponent):
    """Records the events fired at a channel."""

    def __init__(self, channel: str) -> None:
        super().__init__(channel=channel)
        self.recorded_events: list[circuits.Event] = []

    @circuits.handler("*", priority=100)
    def _on_any(self, event: circuits.Event, *arguments: object) -> None:
        if not event.name.startswith(("registered", "unregistered")):
            self.recorded_events.append(event)

    def take(self, name: str) -> list[tuple]:
        """Remove the recorded events of a name and return their arguments."""
        found = [tuple(e.args) for e in self.recorded_events if e.name == name]
        self.recorded_events = [
            e for e in self.recorded_events if e.name != name
        ]
        return found


class ComponentHarness:
    """Components without sockets, and the events that they fire."""

    def __init__(self, *channels: str) -> None:
        self.clock = core.ManualClock()
        self.root = circuits.BaseComponent()
        self.recorders = {channel: Recorder(channel) for channel in channels}
        for recorder in self.recorders.values():
            recorder.register(self.root)
        self.flush_all()

    def flush_all(self) -> None:
        """Process events until none is queued."""
        while len(self.root):
            self.root.flush()

    def fire(self, event: circuits.Event, channel: str) -> None:
        """Fire an event and process events until none is queued."""
        self.root.fire(event, channel)
        self.flush_all()

    def take_call(self) -> _requests.StoreCall:
        """Return the only pending call of the table service."""
        (arguments,) = self.recorders["store"].take("call_store")
        return arguments[0]

    def answer(
        self,
        call: _requests.StoreCall,
        result: _requests.StoreResult,
        value: object = None,
        revision: int = 0,
    ) -> None:
        """Deliver the table service's answer to a call."""
        answer = _requests.StoreAnswer(call, result, value, revision)
        self.fire(_events.store_answered(answer), call.channel)


def build_member(incarnation: int, port: int) -> core.Member:
    """Return an entry on loopback, its HTTP at the next port."""
    return core.Member(
        incarnation,
        f"tcp://127.0.0.1:{port}",
        f"127.0.0.1:{port + 1}",
        "kaai-zuid",
    )


def build_submission(key: str = "", team: str = "hall") -> object:
    """Return a submission of one task, repeatable unless it has a key."""
    request = core.JobRequest((core.TaskRequest(),), repeatable=not key)
    return _requests.Submission(None, team, "print", request, key, "")


def refuse_stale(attempt: int, version: int) -> core.Results:
    """Return an agent's refusal of an attempt under an older version."""
    report = core.AttemptReport(
        attempt, core.Outcome.NOT_STARTED, core.Reason.STALE_CONFIGURATION
    )
    return attrs.evolve(
        builders.build_results(),
        reports=(report,),
        configuration_version=version,
    )
