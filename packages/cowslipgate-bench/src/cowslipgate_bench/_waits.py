"""Waits for conditions, in place of times that a slow machine may break."""

from collections.abc import Callable
import http.client
import time

from cowslipgate_bench import _exceptions

WAIT_SECONDS = 30.0
"""Longest wait for a condition; a set-up beside three bench jobs took 6 s."""

POLL_SECONDS = 0.02
"""Time between two looks at it."""


def wait_until(check: Callable[[], bool], condition: str) -> None:
    """Poll ``check`` until it is true; a lost connection counts as false.

    :raises WaitTimeout: when it stays false
    """
    until = time.monotonic() + WAIT_SECONDS
    while not _holds(check):
        if time.monotonic() > until:
            raise _exceptions.WaitTimeout(condition, WAIT_SECONDS)
        time.sleep(POLL_SECONDS)


def _holds(check: Callable[[], bool]) -> bool:
    try:
        return check()
    except (ConnectionError, TimeoutError, http.client.HTTPException):
        return False
