"""What a service's weights of response and waste change in a policy."""

import datetime
import functools

import attrs

from cowslipgate_core.placement import _late_binding
from cowslipgate_core.placement import _placement

LONGEST_PATIENCE = datetime.timedelta(milliseconds=500)


@functools.singledispatch
def tune_policy(
    policy: _placement.Policy, response_weight: float, waste_weight: float
) -> _placement.Policy:
    """Return the policy as a service's weights would have it."""
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
    lean = (waste_weight - response_weight) / total
    return attrs.evolve(policy, patience=lean * LONGEST_PATIENCE)
