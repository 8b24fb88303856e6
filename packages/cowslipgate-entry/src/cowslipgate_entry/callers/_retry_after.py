"""Times after which refused callers come back, spread over an interval."""

import datetime
import math
import zlib

LONGEST_BACKLOG_SECONDS = 15.0
"""Backlog that counts; with the spread it gives 30 s. A longer one would give
all its callers the same limit."""

_HASHES = 2**32


def choose_retry_after(
    backlog_seconds: float, name: str
) -> datetime.timedelta:
    """Return the time after which a refused job may be sent again.

    It is the time until the backlog is gone, plus up to as much again, which
    depends on the name of the job; in whole seconds from 1 to 30.

    :param backlog_seconds: time until the backlog ahead is gone
    :param name: the caller's name for the job, or its id
    """
    backlog = min(max(0.0, backlog_seconds), LONGEST_BACKLOG_SECONDS)
    part = zlib.crc32(name.encode()) / _HASHES
    seconds = max(1, math.ceil(backlog * (1.0 + part)))
    return datetime.timedelta(seconds=seconds)


def format_seconds(retry_after: datetime.timedelta) -> str:
    """Return the value of the header Retry-After."""
    return str(math.ceil(retry_after.total_seconds()))
