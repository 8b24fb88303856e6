"""Adaptation of a policy to a service's response and waste weights."""

import datetime
import functools

import attrs

from cowslipgate_core.placement import _late_binding
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _separation

MAX_BACKLOG_TIME = datetime.timedelta(milliseconds=500)
"""Backlog time of a service to which only waste matters."""


@functools.singledispatch
def order_late_by_age(policy: _placement.Policy) -> _placement.Policy:
    """Return the policy with late jobs ordered by age, if it orders jobs."""
    return policy


@order_late_by_age.register
def _order_late_binding(
    policy: _late_binding.LateBinding,
) -> _placement.Policy:
    return attrs.evolve(policy, late_by_age=True)


@functools.singledispatch
def separate_kinds(
    policy: _placement.Policy, separation: _separation.Separation
) -> _placement.Policy:
    """Return the policy with a tie-break, if it chooses among targets."""
    return policy


@separate_kinds.register
def _separate_kinds_in_late_binding(
    policy: _late_binding.LateBinding, separation: _separation.Separation
) -> _placement.Policy:
    return attrs.evolve(policy, separation=separation)


@functools.singledispatch
def tune_policy(
    policy: _placement.Policy, response_weight: float, waste_weight: float
) -> _placement.Policy:
    """Return the policy adapted to the weights; by default unchanged.

    :param response_weight: weight of response time, 0 to 1
    :param waste_weight: weight of wasted messages, 0 to 1
    """
    return policy


@tune_policy.register
def _tune_late_binding(
    policy: _late_binding.LateBinding,
    response_weight: float,
    waste_weight: float,
) -> _placement.Policy:
    total = response_weight + waste_weight
    if total <= 0 or waste_weight <= response_weight:
        return policy
    waste_lead = (waste_weight - response_weight) / total
    return attrs.evolve(policy, max_backlog_time=waste_lead * MAX_BACKLOG_TIME)
