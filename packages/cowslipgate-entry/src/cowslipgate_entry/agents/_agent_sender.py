"""Sending of the dispatcher's messages to agents."""

from collections.abc import Callable

import attrs

import cowslipgate_core as core

SendMessage = Callable[[bytes, object], None]


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
        received_ms = self._get_received_ms(agent)
        self.send(agent, attrs.evolve(beat, received_ms=received_ms))

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
                self._get_received_ms(action.agent),
                action.service,
            )
            self._ledger.counters.dispatches += 1
            self.send_to(action.agent, action.incarnation, message)

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

    def _get_received_ms(self, agent: str) -> int:
        record = self._ledger.agents.get(agent)
        return record.received_ms if record is not None else 0

    def _get_link(self, agent: str) -> int:
        record = self._ledger.agents.get(agent)
        return record.report.link if record is not None else 0
