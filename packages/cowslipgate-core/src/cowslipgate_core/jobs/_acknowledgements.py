"""Pending acknowledgements, sent along with the next message to an agent."""

import datetime

import attrs

ACKNOWLEDGE_WITHIN = datetime.timedelta(milliseconds=1200)
"""Delay after which an acknowledgement gets a message of its own; less than
the 1,800 ms after which agents resend an outcome."""


@attrs.define
class _Pending:
    """Unacknowledged outcomes of one agent."""

    since: datetime.datetime
    """When the oldest outcome arrived."""

    attempts: list[int] = attrs.Factory(list)
    """Sequence numbers of the attempts."""


class Acknowledgements:
    """Received outcomes that are not acknowledged yet, by agent."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def add(
        self, agent: str, attempts: list[int], now: datetime.datetime
    ) -> None:
        """Record that outcomes of an agent were received at ``now``."""
        if attempts:
            pending = self._pending.setdefault(agent, _Pending(now))
            pending.attempts.extend(attempts)

    def take(self, agent: str) -> tuple[int, ...]:
        """Remove and return the attempts to acknowledge to an agent."""
        pending = self._pending.pop(agent, None)
        return tuple(pending.attempts) if pending is not None else ()

    def list_agents(self) -> list[str]:
        """Return the agents with unacknowledged outcomes."""
        return list(self._pending)

    def list_overdue(self, now: datetime.datetime) -> list[str]:
        """Return the agents whose oldest outcome waited ACKNOWLEDGE_WITHIN."""
        return [
            agent
            for agent, pending in self._pending.items()
            if now - pending.since >= ACKNOWLEDGE_WITHIN
        ]
