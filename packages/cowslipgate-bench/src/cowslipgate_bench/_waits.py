"""Waits for conditions; fixed sleeps are too short on a slow machine."""

from collections.abc import Callable
import http.client
import time

from cowslipgate_bench import _exceptions

WAIT_SECONDS = 30.0
"""Timeout of a wait; a set-up next to three bench jobs can take 6 s."""

POLL_SECONDS = 0.02
"""Time between two evaluations of the condition."""


def wait_until(check: Callable[[], bool], condition: str) -> None:
    """Poll ``check`` until it is true; a lost connection counts as false.

    :raises WaitTimeout: if it stays false for ``WAIT_SECONDS``
    """
    until = time.monotonic() + WAIT_SECONDS
    while not _evaluate(check):
        if time.monotonic() > until:
            raise _exceptions.WaitTimeout(condition, WAIT_SECONDS)
        time.sleep(POLL_SECONDS)


def _evaluate(check: Callable[[], bool]) -> bool:
    try:
        return check()
    except (ConnectionError, TimeoutError, http.client.HTTPException):
        return False
