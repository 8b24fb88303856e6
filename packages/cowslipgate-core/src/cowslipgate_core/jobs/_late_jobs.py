"""The answer to a job that was not done before its deadline."""

import attrs

from cowslipgate_core.jobs import _jobs


@attrs.frozen
class LateJob:
    """Reason for the end of a job that was not done in time."""

    failure: _jobs.Failure
    """Failure that its caller is told."""

    message: str
    """Description of the failure and its remedy."""


UNSERVED = LateJob(
    _jobs.Failure.OVERLOADED,
    "it can't be done in time; try later or allow more",
)
"""None of its tasks has run or will run, so that it can be sent again."""

OVERDUE = LateJob(
    _jobs.Failure.DEADLINE, "the deadline passed; allow more time"
)
"""Some of its tasks have run or may have run."""


UNFINISHED = LateJob(
    _jobs.Failure.STOPPING, "the entry stops; send it to another one now"
)
"""The entry stops before the job can be done."""


def classify_late_job(
    started: _jobs.Started, ends_early: bool = False
) -> LateJob:
    """Return how a job that was not done in time is answered.

    What ran decides, and not whether this was seen just before the deadline
    or after it: jobs are looked at from time to time only.

    :param ends_early: whether its entry stops before its caller's deadline
    """
    if ends_early:
        return UNFINISHED
    return UNSERVED if started is _jobs.Started.NONE else OVERDUE
