"""Builders of test data for the entry's components."""

import datetime

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests

MEMBER = core.Member(7, "tcp://127.0.0.1:1", "127.0.0.1:2", "kaai-zuid")
DOCUMENT = {"services": {"print": {}}, "teams": {"hall": {}}}


class Outbox(circuits.BaseComponent):
    """Recorder of the messages that the dispatcher sends to agents."""

    channel = "internal"

    def __init__(self) -> None:
        super().__init__()
        self.messages: list[object] = []

    @circuits.handler("send_message")
    def _on_send_message(self, identity: bytes, message: object) -> None:
        self.messages.append(message)

    def take(self, kind: type) -> list[object]:
        """Return the recorded messages of one type, and keep them."""
        return [m for m in self.messages if isinstance(m, kind)]


class DispatcherHarness:
    """A dispatcher with a manual clock and recorded sends, no sockets."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.outbox = Outbox()
        self.root = circuits.BaseComponent()
        self.dispatcher = _dispatcher.Dispatcher(
            core.Ledger(core.LateBinding()), MEMBER, self.clock
        )
        self.dispatcher.register(self.root)
        self.outbox.register(self.root)
        configuration = core.parse_configuration(1, DOCUMENT)
        self.fire(_events.configuration_adopted(configuration))

    def fire(self, event: circuits.Event, channel: str = "dispatcher") -> None:
        """Fire an event and process it with all events that follow."""
        self.root.fire(event, channel)
        while len(self.root):
            self.root.flush()

    def deliver(self, message: object) -> None:
        """Deliver a message as if it came from an agent."""
        self.fire(transport.message_received(b"", message), "internal")

    def submit(
        self,
        tasks: int = 1,
        needs: core.Resources = core.Resources(),
        caller_seen_at: datetime.datetime | None = None,
        terms: core.JobTerms = core.DEFAULT_TERMS,
    ) -> None:
        """Submit a job of equal tasks."""
        task = core.TaskRequest(needs=needs)
        request = core.JobRequest((task,) * tasks)
        submission = _requests.Submission(
            None,
            "hall",
            "print",
            request,
            "",
            "",
            caller_seen_at=caller_seen_at,
            terms=terms,
        )
        self.fire(_events.submit_job(submission))


def build_report(agent: str = "agent-1") -> core.Report:
    """Return the heartbeat of a serving agent with eight slots."""
    return core.Report(
        agent,
        1,
        "print",
        "kaai-zuid",
        "serving",
        core.Resources(1000, 0),
        core.Load(8, 0, 0),
        1,
        "",
    )


def build_results(*attempts: int) -> core.Results:
    """Return results of agent-1 with these attempts finished."""
    reports = tuple(
        core.AttemptReport(attempt, core.Outcome.FINISHED)
        for attempt in attempts
    )
    return core.Results("agent-1", 1, core.Load(8, 0, 0), reports)
