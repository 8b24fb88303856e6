"""Choice among equally good targets by the slowdown that is expected there."""

from collections.abc import Callable
import datetime

from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _interference
from cowslipgate_core.placement import _targets

SIMILAR_SPEED = 0.9
"""Share of a target's speed from which on another counts as equally fast.
Learned speeds of equal machines differ by some percent."""

MAX_TRIED = 16
"""Targets that are compared for one task; bounds the work."""


class Separation:
    """Tie-break of one pass of assignment.

    :param interference: pairs of kinds that slow each other down
    """

    def __init__(self, interference: _interference.Interference) -> None:
        self._interference = interference
        self._added: dict[str, dict[str, int]] = {}

    def choose_target(
        self,
        job: _backlog.WaitingJob,
        position: int,
        target: _targets.TargetView,
        pool: _targets.Pool,
        find: Callable[[_backlog.WaitingJob, _targets.TargetView], int | None],
        now: datetime.datetime,
    ) -> _targets.TargetView:
        """Return the target for a task that the policy gives ``target``.

        It is another one only if the policy would give it the same task, it
        is as near and about as fast, and less slowdown is expected there.

        :param position: position of the task in its job
        :param find: the policy's choice of a task of a job for a target
        """
        kind = job.terms.route
        costs = self._interference.get_costs(kind)
        if not costs:
            # Kinds without a cost need not be counted either.
            return target
        chosen = target
        least = self._sum_cost(costs, target)
        if least > 0:
            for other in _list_similar(target, pool, now):
                if not job.may_use(other) or find(job, other) != position:
                    continue
                if job.is_near(other) != job.is_near(target):
                    continue
                cost = self._sum_cost(costs, other)
                if cost < least:
                    chosen, least = other, cost
                if not least:
                    break
        self._interference.separated += chosen is not target
        added = self._added.setdefault(chosen.agent, {})
        added[kind] = added.get(kind, 0) + 1
        return chosen

    def _sum_cost(
        self, costs: dict[str, float], target: _targets.TargetView
    ) -> float:
        counts = self._interference.get_counts(target.agent)
        added = self._added.get(target.agent, {})
        return sum(
            cost * (counts.get(kind, 0) + added.get(kind, 0))
            for kind, cost in costs.items()
        )


def _list_similar(
    target: _targets.TargetView, pool: _targets.Pool, now: datetime.datetime
) -> list[_targets.TargetView]:
    similar: list[_targets.TargetView] = []
    for view in pool.iterate_open(now):
        # The policy has filled or passed over the targets before it.
        if view.rank <= target.rank:
            continue
        if (
            view.speed < SIMILAR_SPEED * target.speed
            or len(similar) >= MAX_TRIED
        ):
            break
        if view.near == target.near and not view.on_probation:
            similar.append(view)
    return similar
