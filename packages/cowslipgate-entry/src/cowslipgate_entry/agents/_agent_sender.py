"""Sending of the dispatcher's messages to agents."""

from collections.abc import Callable
import datetime
from typing import TypeVar

import attrs

import cowslipgate_core as core

SendMessage = Callable[[bytes, object], None]
_Dated = TypeVar("_Dated", core.Beat, core.Dispatch)
MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class AgentSender:
    """Sender of messages to agents, with counters by kind."""

    _incarnation: int
    """Incarnation of this entry."""

    _ledger: core.Ledger
    """Agents by name, and the counters."""

    _acknowledgements: core.Acknowledgements
    """Outcomes that this entry must still acknowledge."""

    _send_message: SendMessage
    """Sends a message to a ZeroMQ identity."""

    _clock: core.Clock
    """Clock of the entry."""

    def send(self, agent: str, message: object) -> None:
        """Send a message to the known incarnation of an agent, if any."""
        record = self._ledger.agents.get(agent)
        if record is not None:
            self.send_to(agent, record.report.incarnation, message)

    def send_to(self, agent: str, incarnation: int, message: object) -> None:
        """Send a message to one incarnation of an agent."""
        self._send_message(core.encode_identity(agent, incarnation), message)

    def send_heartbeat(self, agent: str, beat: core.Beat) -> None:
        """Send a heartbeat that tells which messages have been received."""
        self.send(agent, self.date(agent, beat))

    def date(self, agent: str, message: _Dated) -> _Dated:
        """Return a message with what dates it and its signs for an agent."""
        record = self._ledger.agents.get(agent)
        if record is None:
            return message
        # All of it by one reading of the clock, as the agent adds them up.
        now = self._clock.now()
        held = now - (record.confirmable_at or now)
        return attrs.evolve(
            message,
            received_ms=record.received_ms,
            held_ms=held // MILLISECOND,
            ages=self._ledger.list_ages(agent, now),
        )

    def dispatch(self, action: core.SendOrders, version: int) -> None:
        """Send attempts, split over as many messages as they need.

        :param version: version of the configuration in force
        """
        for orders in core.split_orders(action.orders):
            message = core.Dispatch(
                self._incarnation,
                action.incarnation,
                version,
                orders,
                self._acknowledgements.take(action.agent),
                self._get_link(action.agent),
                service=action.service,
            )
            self._ledger.counters.dispatches += 1
            dated = self.date(action.agent, message)
            self.send_to(action.agent, action.incarnation, dated)

    def withdraw(self, action: core.SendWithdraw) -> None:
        """Send a request to withdraw attempts or to report on them."""
        message = core.Withdraw(
            self._incarnation,
            action.incarnation,
            action.attempts,
            action.stop,
            action.stalled,
        )
        counters = self._ledger.counters
        counters.record_withdraw(action.stop, action.repeated)
        self.send_to(action.agent, action.incarnation, message)

    def acknowledge(self, agents: list[str]) -> None:
        """Send acknowledgements that no other message has carried."""
        for agent in agents:
            message = core.Acknowledge(
                self._incarnation, self._acknowledgements.take(agent)
            )
            self.send(agent, message)
            self._ledger.counters.acknowledgements += 1

    def _get_link(self, agent: str) -> int:
        record = self._ledger.agents.get(agent)
        return record.report.link if record is not None else 0
