"""Acknowledgements that wait for a message to ride on."""

import datetime

import attrs

ACKNOWLEDGE_WITHIN = datetime.timedelta(milliseconds=1200)


@attrs.define
class _Pending:
    """Outcomes of one agent that are not acknowledged yet."""

    since: datetime.datetime
    """When the oldest arrived."""

    attempts: list[int] = attrs.Factory(list)
    """Sequence numbers of the attempts."""


class Acknowledgements:
    """Outcomes received, by agent, until a message tells so."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def add(
        self, agent: str, attempts: list[int], now: datetime.datetime
    ) -> None:
        """Take in that outcomes of an agent have arrived."""
        if attempts:
            pending = self._pending.setdefault(agent, _Pending(now))
            pending.attempts.extend(attempts)

    def take(self, agent: str) -> tuple[int, ...]:
        """Return and forget what the next message to an agent carries."""
        pending = self._pending.pop(agent, None)
        return tuple(pending.attempts) if pending is not None else ()

    def list_agents(self) -> list[str]:
        """Return the agents that await an acknowledgement."""
        return list(self._pending)

    def list_overdue(self, now: datetime.datetime) -> list[str]:
        """Return the agents to which no other message went for too long."""
        return [
            agent
            for agent, pending in self._pending.items()
            if now - pending.since >= ACKNOWLEDGE_WITHIN
        ]
