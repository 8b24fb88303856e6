"""An entry's evacuations without sockets, and what leaves them."""

import datetime

import attrs
import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_entry import _events
from cowslipgate_entry.agents import _evacuations
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

BOUND = datetime.timedelta(seconds=5)
DOMAIN = "kaai-zuid"
PREFIX = "evacuate/"


def find_domain(key: str) -> str | None:
    """Return the domain that a key of the tests names, or None."""
    return key.removeprefix(PREFIX) if key.startswith(PREFIX) else None


class EvacuationHarness:
    """Evacuations beside a dispatcher that knows one agent."""

    def __init__(self) -> None:
        self._harness = builders.DispatcherHarness()
        self.clock = self._harness.clock
        root = self._harness.root
        self.log = control_builders.Recorder("logs").register(root)
        self.evacuations = _evacuations.Evacuations(
            builders.MEMBER,
            self._harness.dispatcher.ledger,
            find_domain,
            BOUND,
            self.clock,
        ).register(root)
        self.report()

    def fire(self, event: circuits.Event, channel: str) -> None:
        """Fire an event and handle all that follow."""
        self._harness.fire(event, channel)

    def deliver(self, message: object) -> None:
        """Deliver a message of an agent."""
        self._harness.deliver(message)

    def report(self, link: int = 1, incarnation: int = 1) -> None:
        """Deliver a heartbeat of the agent."""
        report = builders.build_report()
        self.deliver(attrs.evolve(report, link=link, incarnation=incarnation))

    def hold(self, version: int, *domains: str, incarnation: int = 1) -> None:
        """Deliver what the agent holds."""
        held = core.EvacuationHeld("agent-1", incarnation, version, domains)
        self.deliver(held)

    def read(self, version: int, *domains: str) -> None:
        """Let the store answer a read of the whole table."""
        rows = tuple(
            core.TableRow(PREFIX + domain, b"", version) for domain in domains
        )
        call = core.TableRead("", "op")
        done = core.TableResult.DONE
        answer = core.TableAnswer(call, done, rows, version)
        self.fire(_events.operator_rows_read(answer), "evacuations")

    def follow(self, *rows: core.TableRow) -> None:
        """Let the store return changes of the table."""
        call = core.TableFollow("", "op", 0, BOUND)
        done = core.TableResult.DONE
        version = max(row.version for row in rows)
        answer = core.TableAnswer(call, done, rows, version)
        self.fire(_events.operator_rows_read(answer), "evacuations")

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and fire a tick."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.fire(_events.tick(), "evacuations")

    def take_messages(self) -> list[object]:
        """Remove and return the messages sent to agents."""
        outbox = self._harness.outbox
        messages, outbox.messages = outbox.messages, []
        return messages

    def take_notices(self) -> list[core.EvacuationNotice]:
        """Remove all messages and return the notices."""
        kind = core.EvacuationNotice
        return [m for m in self.take_messages() if isinstance(m, kind)]

    def take_changes(self) -> list[transport.Change]:
        """Remove and return the log records."""
        return [change for (change,) in self.log.take("changed")]
