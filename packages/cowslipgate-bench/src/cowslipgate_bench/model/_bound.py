"""A bound on the worth of a day that no schedule can beat.

The day is relaxed: messages take no time, all targets are one pool of
processor time, and a task may stand still and go on, at the speed of the
fastest target at most. Each bin of time has a price for processor time. A
request then takes the cheapest bins before its objective, or before the last
moment at which a late answer is worth something, or is given up. For any
prices, the price of all bins and what requests are worth beyond what they
pay are at least the worth of every schedule (Lagrangian duality); a
subgradient method looks for prices that make the sum small.
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

ROUNDS = 120
"""Steps of the subgradient method; twice as many change 0.001."""

FIRST_STEP = 0.3
"""First step of the prices, over the mean worth of processor time."""

_Array = npt.NDArray[np.float64]


@attrs.frozen(eq=False)
class _Demand:
    """What a request asks of the bins."""

    first: int
    """Bin in which it comes."""

    in_time: int
    """Bins until its objective."""

    late: int
    """Bins until a late answer is worth nothing."""

    worth: float
    """Worth of an answer in time."""

    rate: float
    """Core-seconds at speed one that a task does in a bin at most."""

    bins: _Array
    """Bins that each task needs at that rate."""


@attrs.frozen(eq=False)
class _Offer:
    """The cheapest way to serve a request before a moment."""

    gain: float
    """Worth beyond the price, negative when it does not pay."""

    where: npt.NDArray[np.intp]
    """Bins that are used."""

    amounts: _Array
    """Core-seconds taken of each."""


def bound_worth(day: _day.Day, rounds: int = ROUNDS) -> float:
    """Return a share of the worth asked for that no schedule exceeds."""
    site = attrs.evolve(day.site, requests=day.site.requests * day.load)
    requests = _traffic.make_traffic(site, day.pattern, day.seconds, day.seed)
    capacity = _list_capacity(day, requests)
    speed = max(_sites.RACK_SPEEDS)
    demands = [_make_demand(day, request, speed) for request in requests]
    asked = sum(demand.worth for demand in demands)
    work = sum(demand.rate * demand.bins.sum() for demand in demands)
    prices = np.zeros(len(capacity))
    best = math.inf
    for number in range(1, rounds + 1):
        value, used = _price_day(demands, prices, capacity)
        best = min(best, value)
        step = FIRST_STEP * asked / work / math.sqrt(number)
        prices += step * (used - capacity) / capacity.mean()
        prices = np.maximum(prices, 0.0)
    return best / asked


def _price_day(
    demands: list[_Demand], prices: _Array, capacity: _Array
) -> tuple[float, _Array]:
    """Return the bound that prices give, and what is taken of each bin."""
    value = float(prices @ capacity)
    used = np.zeros(len(capacity))
    for demand in demands:
        in_time = _make_offer(demand, prices, demand.in_time, demand.worth)
        worth = demand.worth * _day.LATE_WORTH
        late = _make_offer(demand, prices, demand.late, worth)
        offer = max(in_time, late, key=lambda offer: offer.gain)
        if offer.gain > 0.0:
            value += offer.gain
            used[offer.where] += offer.amounts
    return value, used


def _make_offer(
    demand: _Demand, prices: _Array, bins: int, worth: float
) -> _Offer:
    window = prices[demand.first : demand.first + bins]
    order = np.argsort(window, kind="stable")
    if demand.bins.max() > len(window):
        return _Offer(-math.inf, order, window)
    ranks = np.arange(len(window))
    shares = np.clip(demand.bins[:, None] - ranks, 0.0, 1.0).sum(axis=0)
    amounts = demand.rate * shares
    gain = worth - float(window[order] @ amounts)
    return _Offer(gain, demand.first + order, amounts)


def _make_demand(
    day: _day.Day, request: _traffic.Request, speed: float
) -> _Demand:
    objective = _day.find_objective(day.site, request)
    rate = speed * BIN_SECONDS * request.millicores / 1_000
    seconds = np.array(request.seconds)
    first = math.floor(request.at / BIN_SECONDS)
    # The first and the last bin count whole, which can only raise the bound.
    return _Demand(
        first,
        math.ceil((request.at + objective) / BIN_SECONDS) - first,
        math.ceil((request.at + _day.LATE_FACTOR * objective) / BIN_SECONDS)
        - first,
        request.kind.worth,
        rate,
        seconds / speed / BIN_SECONDS,
    )


def _list_capacity(day: _day.Day, requests: list[_traffic.Request]) -> _Array:
    """Return the core-seconds at speed one in each bin."""
    objectives = [_day.find_objective(day.site, r) for r in requests]
    last = max(r.at for r in requests) + _day.LATE_FACTOR * max(objectives)
    starts = np.arange(math.ceil(last / BIN_SECONDS) + 1) * BIN_SECONDS
    capacity = np.zeros(len(starts))
    longest = max(max(request.seconds) for request in requests)
    for target in _day.make_targets(day, _loop.Loop()):
        whole = target.speed * target.millicores / 1_000 * BIN_SECONDS
        share = _find_share(target.trouble)
        # What was ordered before a trouble still ends as it should.
        begin = target.begin - _day.START_SECONDS + longest / target.speed
        end = target.end - _day.START_SECONDS
        struck = (starts >= begin) & (starts + BIN_SECONDS <= end)
        capacity += np.where(struck, whole * share, whole)
    return capacity


def _find_share(trouble: _sites.Trouble) -> float:
    """Return what a trouble leaves of a target's processor time."""
    match trouble:
        case _sites.Trouble.SLOW:
            return 1.0 / _targets.SLOW_FACTOR
        case _sites.Trouble.HANG | _sites.Trouble.FAIL:
            return 0.0
    return 1.0
