"""Timeouts and inquiry intervals of a ledger."""

import datetime

import attrs


@attrs.frozen
class Timing:
    """Timeouts and inquiry intervals of a ledger."""

    resolve_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    """Longest wait of a failed job for the outcomes of its attempts."""

    last_resolve_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=200
    )
    """The same wait at the end of an entry: a stop takes 50 ms, and it is
    seen at a tick of 100 ms."""

    stop_interval: datetime.timedelta = datetime.timedelta(milliseconds=300)
    """Time after which an agent that has not answered is told again to stop
    an attempt that is not needed."""

    inquiry_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    """Time between inquiries about an attempt that its agent may not have."""

    long_inquiry_interval: datetime.timedelta = datetime.timedelta(seconds=15)
    """Time between inquiries when the agent's load covers its attempts."""

    caller_lost_after: datetime.timedelta | None = None
    """Time since a caller was last known to be connected after which its tasks
    are stopped and not sent until it is seen again; None for no limit."""

    agent_suspect_after: datetime.timedelta = datetime.timedelta(seconds=5)
    """Time without a message after which an agent gets no new work."""

    agent_lost_after: datetime.timedelta = datetime.timedelta(seconds=20)
    """Time without a message after which an agent is removed as lost and its
    attempts are unknown."""
