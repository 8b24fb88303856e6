"""The time that a run may go on after the last sign that it is wanted.

A caller whose connection broke submits its job again ``resend_after`` later,
so every run of the first submission has to end before. That time is shared
out here, and nowhere else::

    sign .. stop_after     age of the sign at the agent, however it got there
         .. end_after      a tick, the order to stop, and its repetition
         .. resend_after   slow clocks of targets

    sign .. ORDINARY_AGE   age of the sign when an order arrives
         .. end_after      a lease of ``renewal``
         .. resend_after   slow clocks of targets
"""

import datetime

import attrs

from cowslipgate_core import _exceptions
from cowslipgate_core.execution import _runs

STOP_ALLOWANCE = datetime.timedelta(milliseconds=200)
"""Time for stopping a run: a tick of 0.1 s, the order, the stop itself, which
takes 50 ms, and the end of the lease if it is not carried out."""

CLOCK_LAG = datetime.timedelta(milliseconds=30)
"""Time by which a lease may end late beside what a slow clock of its target
adds: the agent's estimate of that clock lags by the transit of an answer."""

ORDINARY_AGE = datetime.timedelta(milliseconds=350)
"""Age up to which the sign that an order rests on lets it start beside runs
whose lease was just renewed: 0.2 s until its caller is probed again, and the
rest for paths and busy VMs. Older ones wait for a newer sign."""

SHORTEST_RENEWAL = datetime.timedelta(milliseconds=300)
"""Shortest useful lease: it is renewed each tick of 0.1 s, and two renewals
may be lost."""


@attrs.frozen
class RunBudget:
    """Times after the last sign that a run rests on."""

    stop_after: datetime.timedelta
    """Time after which it is stopped."""

    end_after: datetime.timedelta
    """Time by which its lease ends."""

    renewal: datetime.timedelta
    """Longest lease that an agent asks for."""


def make_run_budget(
    resend_after: datetime.timedelta, longest_lease: datetime.timedelta
) -> RunBudget:
    """Return the shares of the time after which callers submit again.

    :param longest_lease: longest lease that a target grants
    :raises SettingsError: when the time is too short for its shares
    """
    longest = min(longest_lease, resend_after)
    end_after = resend_after - CLOCK_LAG - longest * (1 - _runs.SLOWEST_RATE)
    renewal = min(longest_lease, end_after - ORDINARY_AGE)
    if renewal < SHORTEST_RENEWAL:
        needed = resend_after - renewal + SHORTEST_RENEWAL
        fault = _exceptions.SettingFault(
            "resend_after",
            f"{resend_after.total_seconds():g}s",
            f"at least {needed.total_seconds():g}s, and leases of at least"
            f" {SHORTEST_RENEWAL.total_seconds():g}s, so that runs end before"
            " callers submit their jobs again",
        )
        raise _exceptions.SettingsError((fault,))
    return RunBudget(end_after - STOP_ALLOWANCE, end_after, renewal)
