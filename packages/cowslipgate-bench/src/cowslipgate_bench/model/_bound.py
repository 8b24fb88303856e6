"""An upper bound on the worth that any schedule earns in a day.

The problem is relaxed: messages take no time, all targets are one pool of
processor time, and tasks are preemptible, at most at the speed of the
fastest target. Each time bin has a price for processor time. A request then
takes the cheapest bins before its objective, or before the end of the time
in which a late answer is worth something, or is dropped. For any prices, the
price of all bins plus the worth of requests beyond their price is at least
the worth of every schedule (Lagrangian duality); a subgradient method
searches for prices that minimise this sum.
"""

import math

import attrs
import numpy as np
import numpy.typing as npt

from cowslipgate_bench.model import _day
from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _sites
from cowslipgate_bench.model import _targets
from cowslipgate_bench.model import _traffic

BIN_SECONDS = 0.05
"""Length of a bin; half the objective of the shortest requests."""

ITERATIONS = 120
"""Subgradient steps; twice as many change the bound by 0.001."""

FIRST_STEP = 0.3
"""First price step, as a share of the mean worth of a core-second."""

_Array = npt.NDArray[np.float64]


@attrs.frozen(eq=False)
class _Demand:
    """Processor time that a request needs, in bins."""

    first: int
    """Index of the bin in which it arrives."""

    in_time: int
    """Bins from its arrival to its objective."""

    late: int
    """Bins from its arrival until a late answer is worth nothing."""

    worth: float
    """Worth of an answer within the objective."""

    rate: float
    """Most core-seconds, at speed one, that a task uses in a bin."""

    bins: _Array
    """Bins that each task needs at that rate."""


@attrs.frozen(eq=False)
class _Allocation:
    """The cheapest bins that serve a request within a time."""

    gain: float
    """Worth minus price; negative if the price exceeds the worth."""

    where: npt.NDArray[np.intp]
    """Indices of the bins, cheapest first."""

    amounts: _Array
    """Core-seconds used of each bin."""


def bound_worth(day: _day.Day, iterations: int = ITERATIONS) -> float:
    """Return an upper bound on the share of the worth that is earned.

    :param iterations: steps of the subgradient method
    """
    site = attrs.evolve(
        day.site, requests_per_second=day.site.requests_per_second * day.load
    )
    requests = _traffic.make_traffic(site, day.pattern, day.seconds, day.seed)
    capacity = _compute_capacity(day, requests)
    speed = max(_sites.TARGET_SPEEDS)
    demands = [_make_demand(day, request, speed) for request in requests]
    total_worth = sum(demand.worth for demand in demands)
    total_work = sum(demand.rate * demand.bins.sum() for demand in demands)
    prices = np.zeros(len(capacity))
    best = math.inf
    for number in range(1, iterations + 1):
        value, used = _evaluate_prices(demands, prices, capacity)
        best = min(best, value)
        step = FIRST_STEP * total_worth / total_work / math.sqrt(number)
        prices += step * (used - capacity) / capacity.mean()
        prices = np.maximum(prices, 0.0)
    return best / total_worth


def _evaluate_prices(
    demands: list[_Demand], prices: _Array, capacity: _Array
) -> tuple[float, _Array]:
    """Return the bound at these prices, and the core-seconds used by bin."""
    value = float(prices @ capacity)
    used = np.zeros(len(capacity))
    for demand in demands:
        in_time = _allocate(demand, prices, demand.in_time, demand.worth)
        worth = demand.worth * _day.LATE_WORTH
        late = _allocate(demand, prices, demand.late, worth)
        allocation = max(in_time, late, key=lambda allocation: allocation.gain)
        if allocation.gain > 0.0:
            value += allocation.gain
            used[allocation.where] += allocation.amounts
    return value, used


def _allocate(
    demand: _Demand, prices: _Array, bins: int, worth: float
) -> _Allocation:
    window = prices[demand.first : demand.first + bins]
    order = np.argsort(window, kind="stable")
    if demand.bins.max() > len(window):
        return _Allocation(-math.inf, order, window)
    ranks = np.arange(len(window))
    shares = np.clip(demand.bins[:, None] - ranks, 0.0, 1.0).sum(axis=0)
    amounts = demand.rate * shares
    gain = worth - float(window[order] @ amounts)
    return _Allocation(gain, demand.first + order, amounts)


def _make_demand(
    day: _day.Day, request: _traffic.Request, speed: float
) -> _Demand:
    objective = _day.find_objective(day.site, request)
    rate = speed * BIN_SECONDS * request.millicores / 1_000
    seconds = np.array(request.seconds)
    first = math.floor(request.at / BIN_SECONDS)
    # Whole first and last bins can only raise the bound.
    return _Demand(
        first,
        math.ceil((request.at + objective) / BIN_SECONDS) - first,
        math.ceil((request.at + _day.LATE_FACTOR * objective) / BIN_SECONDS)
        - first,
        request.kind.worth,
        rate,
        seconds / speed / BIN_SECONDS,
    )


def _compute_capacity(
    day: _day.Day, requests: list[_traffic.Request]
) -> _Array:
    """Return the core-seconds, at speed one, of all targets in each bin."""
    objectives = [_day.find_objective(day.site, r) for r in requests]
    last = max(r.at for r in requests) + _day.LATE_FACTOR * max(objectives)
    starts = np.arange(math.ceil(last / BIN_SECONDS) + 1) * BIN_SECONDS
    capacity = np.zeros(len(starts))
    longest = max(max(request.seconds) for request in requests)
    for target in _day.make_targets(day, _loop.Loop()):
        whole = target.speed * target.millicores / 1_000 * BIN_SECONDS
        share = _get_capacity_share(target.fault)
        # Runs that start before a fault still end normally.
        begin = target.begin - _day.START_SECONDS + longest / target.speed
        end = target.end - _day.START_SECONDS
        faulty = (starts >= begin) & (starts + BIN_SECONDS <= end)
        capacity += np.where(faulty, whole * share, whole)
    return capacity


def _get_capacity_share(fault: _sites.Fault) -> float:
    """Return the share of its processor time that a faulty target has."""
    match fault:
        case _sites.Fault.SLOW:
            return 1.0 / _targets.SLOW_FACTOR
        case _sites.Fault.HANG | _sites.Fault.FAIL:
            return 0.0
    return 1.0
