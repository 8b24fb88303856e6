"""Heartbeat interval of idle agents, and limits for missed heartbeats."""

import datetime
import functools

HEARTBEAT_BYTES = 450
HEARTBEAT_BYTES_PER_SECOND = 11_000
"""Budget for the heartbeats of all agents of one entry."""

LOST_HEARTBEATS = 5
MAX_CACHED = 64
SHORTEST_HEARTBEAT = datetime.timedelta(seconds=1)
SUSPECT_HEARTBEATS = 2.5


@functools.lru_cache(maxsize=MAX_CACHED)
def choose_heartbeat(agents: int) -> datetime.timedelta:
    """Return the interval that keeps an entry's heartbeats within budget.

    :param agents: number of agents that report to the entry
    """
    seconds = agents * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return max(SHORTEST_HEARTBEAT, datetime.timedelta(seconds=seconds))


def compute_suspect_timeout(
    limit: datetime.timedelta, interval: datetime.timedelta
) -> datetime.timedelta:
    """Return the time without a message after which an idle peer is suspect.

    :param limit: shortest such time
    :param interval: heartbeat interval of the peer
    """
    return max(limit, interval * SUSPECT_HEARTBEATS)


def compute_lost_timeout(
    limit: datetime.timedelta, interval: datetime.timedelta
) -> datetime.timedelta:
    """Return the time without a message after which an idle peer is lost.

    :param limit: shortest such time
    :param interval: heartbeat interval of the peer
    """
    return max(limit, interval * LOST_HEARTBEATS)
