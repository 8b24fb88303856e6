"""How long a ledger waits before it acts on silence."""

import datetime

import attrs


@attrs.frozen
class Timing:
    """How long the ledger waits before it acts on silence."""

    settle_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    """Longest time that a failed job waits for its attempts' outcomes."""

    inquiry_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    """Age at which an agent is asked about an attempt, again and again."""

    long_inquiry_interval: datetime.timedelta = datetime.timedelta(seconds=15)
    """The same, of attempts that the agent seems to hold."""

    agent_suspect_after: datetime.timedelta = datetime.timedelta(seconds=5)
    """Silence after which an agent gets no new work."""

    agent_lost_after: datetime.timedelta = datetime.timedelta(seconds=20)
    """Silence after which an agent's attempts count as unknown."""
