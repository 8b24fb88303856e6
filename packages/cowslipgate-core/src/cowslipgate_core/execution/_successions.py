"""Orders for tasks whose earlier runs are still active at the agent.

A caller whose entry died sends its job again to another entry, which orders
the tasks anew. A refusal of such an order lets the task start elsewhere, so it
is not sent before the earlier run has ended.
"""

from collections.abc import Iterable

from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.messages import _attempts


class Successions:
    """Attempts that wait for runs of their tasks, and what is reported then.

    An attempt waits for one run at most, since a task has at most one here.
    """

    def __init__(self) -> None:
        self._runs: dict[
            _executor_actions.AttemptKey, _executor_actions.AttemptKey
        ] = {}
        self._withheld: dict[
            _executor_actions.AttemptKey, _attempts.AttemptReport
        ] = {}

    def __contains__(self, key: _executor_actions.AttemptKey) -> bool:
        return key in self._runs

    def add(
        self,
        key: _executor_actions.AttemptKey,
        run: _executor_actions.AttemptKey,
    ) -> None:
        """Record that an attempt was ordered while a run is active."""
        self._runs[key] = run

    def withhold(
        self, entry: int, reports: Iterable[_attempts.AttemptReport]
    ) -> list[_attempts.AttemptReport]:
        """Keep back the reports of waiting attempts; return the others.

        The first report of an attempt is the one that is kept.
        """
        others = []
        for report in reports:
            key = _executor_actions.AttemptKey(entry, report.attempt)
            if key in self._runs:
                self._withheld.setdefault(key, report)
            else:
                others.append(report)
        return others

    def release(
        self, run: _executor_actions.AttemptKey
    ) -> dict[int, list[_attempts.AttemptReport]]:
        """Return what was withheld until the end of a run, by entry."""
        released: dict[int, list[_attempts.AttemptReport]] = {}
        for key in [key for key, each in self._runs.items() if each == run]:
            del self._runs[key]
            report = self._withheld.pop(key, None)
            if report is not None:
                released.setdefault(key.entry, []).append(report)
        return released
