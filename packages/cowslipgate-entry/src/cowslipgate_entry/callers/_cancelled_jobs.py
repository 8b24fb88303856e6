"""Jobs that were cancelled and are not run if they are submitted again."""

import collections
import datetime
import enum

import attrs

KEPT_CANCELLED = datetime.timedelta(minutes=2)
"""Time for which a cancelled job is remembered and not run: submissions that
were sent before, or again, come seconds later."""

MAX_CANCELLED = 10_000
"""Cancelled jobs that are remembered, about 3 MB; the oldest goes first."""


class CancellationAction(enum.StrEnum):
    """What an entry did with cancellations, for the metrics."""

    WRITTEN = "row_written"
    REMOVED = "row_removed"
    READ = "row_read"
    REFUSED = "submission_refused"


Key = tuple[str, str]
"""Team and resource of a job."""


@attrs.define(eq=False)
class CancelledJobs:
    """Bounded memory of cancelled jobs."""

    _jobs: collections.OrderedDict[Key, tuple[datetime.datetime, bool]] = (
        attrs.Factory(collections.OrderedDict)
    )
    """When each was cancelled and whether it was in flight here, oldest
    first."""

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, key: Key, now: datetime.datetime) -> bool | None:
        """Return whether a cancelled job was in flight here.

        It is None for a job that was not cancelled.
        """
        found = self._jobs.get(key)
        if found is None or now - found[0] > KEPT_CANCELLED:
            return None
        return found[1]

    def add(self, key: Key, was_here: bool, now: datetime.datetime) -> None:
        """Remember a cancelled job, and forget what exceeds the bounds.

        :param was_here: whether it was in flight at this entry
        """
        was_here = was_here or bool(self.find(key, now))
        self._jobs[key] = now, was_here
        self._jobs.move_to_end(key)
        while self._jobs:
            oldest = next(iter(self._jobs))
            outdated = now - self._jobs[oldest][0] > KEPT_CANCELLED
            if not outdated and len(self._jobs) <= MAX_CANCELLED:
                return
            del self._jobs[oldest]
