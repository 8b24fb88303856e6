"""Final status of claimed jobs, for callers that repeat a request."""

import collections

import attrs

import cowslipgate_core as core

MAX_ENDED = 10_000
"""Number of ended jobs whose status is kept; the oldest goes first."""


@attrs.define(eq=False)
class EndedJobs:
    """Status of the latest ended jobs that are not repeatable."""

    _statuses: collections.OrderedDict[str, str] = attrs.Factory(
        collections.OrderedDict
    )
    """``complete`` or ``failed`` by job id, oldest first."""

    def __len__(self) -> int:
        return len(self._statuses)

    def add(self, job: core.Job, answer: core.JobAnswer) -> None:
        """Record the status of a job unless it is repeatable."""
        if job.request.repeatable:
            return
        failed = answer.failure is not None
        self._statuses[job.id] = "failed" if failed else "complete"
        if len(self._statuses) > MAX_ENDED:
            self._statuses.popitem(last=False)

    def answer_repeat(
        self, job: core.Job, known: str, running: bool
    ) -> core.JobAnswer:
        """Return the refusal of a job whose key another job has used.

        :param known: id of the other job
        :param running: whether the other job is in flight at this entry
        """
        status = "running" if running else self._statuses.get(known, "unknown")
        return core.JobAnswer(
            job.id,
            failure=core.Failure.ALREADY_CLAIMED,
            message=f"the key was used before, by job {known}",
            claimed_by=known,
            claimed_status=status,
        )
