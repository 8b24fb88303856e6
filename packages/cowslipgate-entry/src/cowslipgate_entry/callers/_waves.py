"""Cancellations whose jobs are being settled."""

import attrs

import cowslipgate_core as core
from cowslipgate_entry.callers import _requests


@attrs.define(eq=False)
class Wave:
    """A cancellation and the jobs that it waits for."""

    cancellation: _requests.Cancellation
    """What was asked for."""

    pending: set[str]
    """Jobs that are not answered yet."""

    size: int = attrs.field()
    """Number of jobs at the beginning."""

    @size.default
    def _count_jobs(self) -> int:
        return len(self.pending)


@attrs.define(eq=False)
class Waves:
    """The cancellations that are not answered yet."""

    _open: list[Wave] = attrs.Factory(list)
    """Those cancellations."""

    def add(
        self, cancellation: _requests.Cancellation, jobs: set[str]
    ) -> None:
        """Take in a cancellation of the jobs with the given ids."""
        self._open.append(Wave(cancellation, jobs))

    def note_answer(self, job: str) -> None:
        """Take in that a job was answered."""
        for wave in self._open:
            wave.pending.discard(job)

    def take_settled(self) -> list[Wave]:
        """Return and forget the cancellations whose jobs are answered."""
        settled = [wave for wave in self._open if not wave.pending]
        self._open = [wave for wave in self._open if wave.pending]
        return settled


def matches(cancellation: _requests.Cancellation, job: core.Job) -> bool:
    """Tell whether a cancellation is meant for ``job``."""
    if job.team != cancellation.team:
        return False
    if cancellation.job:
        return job.id == cancellation.job
    return (
        job.service == cancellation.service
        and job.request.label == cancellation.label
    )
