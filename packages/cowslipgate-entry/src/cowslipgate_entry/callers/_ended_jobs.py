"""How jobs with a claim ended, for callers that repeat the request."""

import collections

import attrs

import cowslipgate_core as core

MAX_ENDED = 10_000


@attrs.define(eq=False)
class EndedJobs:
    """The last jobs that may run only once, and how they ended."""

    _statuses: collections.OrderedDict[str, str] = attrs.Factory(
        collections.OrderedDict
    )
    """``complete`` or ``failed`` by id, the oldest first."""

    def __len__(self) -> int:
        return len(self._statuses)

    def add(self, job: core.Job, answer: core.JobAnswer) -> None:
        """Note how a job ended; a repeatable one is not kept."""
        if job.request.repeatable:
            return
        failed = answer.failure is not None
        self._statuses[job.id] = "failed" if failed else "complete"
        if len(self._statuses) > MAX_ENDED:
            self._statuses.popitem(last=False)

    def answer_repeat(
        self, job: core.Job, known: str, running: bool
    ) -> core.JobAnswer:
        """Return the answer to a job whose key another job has used.

        :param known: id of the other job
        :param running: whether it still runs here
        """
        status = "running" if running else self._statuses.get(known, "unknown")
        return core.JobAnswer(
            job.id,
            failure=core.Failure.ALREADY_CLAIMED,
            message=f"the key was used before, by job {known}",
            claimed_by=known,
            claimed_status=status,
        )
