"""Cancellations with jobs that still wait for their answers."""

import attrs

import cowslipgate_core as core
from cowslipgate_entry.callers import _requests


@attrs.define(eq=False)
class PendingCancellation:
    """A cancellation and the jobs that it waits for at this entry."""

    cancellation: _requests.Cancellation
    """The request of the caller or of another entry."""

    pending: set[str]
    """Ids of the jobs that are not answered yet."""

    size: int = attrs.field()
    """Number of jobs cancelled, answered ones included."""

    @size.default
    def _count_jobs(self) -> int:
        return len(self.pending)


@attrs.define(eq=False)
class PendingCancellations:
    """Cancellations that are not answered yet."""

    _unanswered: list[PendingCancellation] = attrs.Factory(list)
    """Unanswered cancellations in order of arrival."""

    def add(
        self, cancellation: _requests.Cancellation, jobs: set[str]
    ) -> None:
        """Add a cancellation of the jobs with the given ids."""
        self._unanswered.append(PendingCancellation(cancellation, jobs))

    def record_answer(self, job: str) -> None:
        """Record that a job was answered."""
        for waiting in self._unanswered:
            waiting.pending.discard(job)

    def take_complete(self) -> list[PendingCancellation]:
        """Remove and return the cancellations with every job answered."""
        complete = [
            waiting for waiting in self._unanswered if not waiting.pending
        ]
        self._unanswered = [
            waiting for waiting in self._unanswered if waiting.pending
        ]
        return complete


def matches(cancellation: _requests.Cancellation, job: core.Job) -> bool:
    """Return whether a cancellation covers ``job``."""
    if job.team != cancellation.team:
        return False
    if cancellation.job:
        return job.id == cancellation.job
    if cancellation.resource:
        return job.terms.resource == cancellation.resource
    return (
        job.service == cancellation.service
        and job.request.label == cancellation.label
    )
