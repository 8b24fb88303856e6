"""Checks of the guarantees against callers' answers and targets' runs."""

import collections
from collections.abc import Iterable, Sequence
import datetime
import http
import itertools

import attrs
from cowslipgate_platform.tests import calls
from cowslipgate_platform.tests import target_standin


NOT_RUN_STATUSES = (
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses that mean that no task of the job ran."""

MAX_START_DELAY_SECONDS = 1.2
"""Longest time from an answer to the start of a run ordered before it: the
lease of a second, by a clock that may be 2% slow."""

MAX_CONCURRENT_RUNS = target_standin.MILLICORES // calls.CORES_MILLI
"""Number of runs that fill the room of a target."""


@attrs.frozen
class SentJob:
    """A job and the last reply to its caller."""

    job: calls.JobSpec
    """The job."""

    reply: calls.Reply
    """The last reply."""


def find_violations(
    sent: Iterable[SentJob], runs: Sequence[target_standin.Run]
) -> list[str]:
    """Return a line for each violated guarantee.

    :param runs: runs of all targets; a run without an end is a violation
    """
    by_job = collections.defaultdict(list)
    for run in runs:
        by_job[run.task.partition(".")[0]].append(run)
    found = find_overlaps(runs)
    found += find_overcommitted_targets(runs)
    for sent_job in sent:
        found += _check_job(sent_job, by_job[sent_job.job.name])
    return found


def find_overlaps(runs: Iterable[target_standin.Run]) -> list[str]:
    """Return a line for each pair of overlapping runs of a task.

    A second run after the first is allowed: the entry or agent may have been
    killed before it passed on the result.
    """
    by_task = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_at):
        by_task[run.task].append(run)
    return [
        f"{task}: run {second.number} began before {first.number} ended"
        for task, listed in by_task.items()
        for first, second in itertools.pairwise(listed)
        if first.ended_at is None or first.ended_at > second.started_at
    ]


def find_overcommitted_targets(
    runs: Iterable[target_standin.Run],
) -> list[str]:
    """Return a line for each target with more runs than its room holds."""
    steps = collections.defaultdict(list)
    for run in runs:
        steps[run.target].append((run.started_at, 1))
        if run.ended_at is not None:
            steps[run.target].append((run.ended_at, -1))
    found = []
    for target, listed in steps.items():
        # Sorting puts ends before starts of the same instant.
        counts = itertools.accumulate(step for _, step in sorted(listed))
        highest = max(counts)
        if highest > MAX_CONCURRENT_RUNS:
            found.append(f"{target}: {highest} runs at once")
    return found


def _check_job(sent: SentJob, runs: list[target_standin.Run]) -> list[str]:
    job, reply = sent.job, sent.reply
    done = {run.task for run in runs if run.outcome == "done"}
    found = []
    if _is_complete(reply) and len(done) != job.tasks:
        found.append(f"{job.name} was answered with a task undone")
    # The status of a later entry says nothing about earlier ones.
    if reply.status in NOT_RUN_STATUSES and runs and reply.tries == 1:
        found.append(f"{job.name} ran though it was refused")
    if reply.status == 0 and not reply.disconnected:
        found.append(f"{job.name} got no answer in {reply.tries} tries")
    if any(run.ended_at is None for run in runs):
        found.append(f"{job.name} runs on after the day")
    if reply.answered_at is not None:
        latest = reply.answered_at + datetime.timedelta(
            seconds=MAX_START_DELAY_SECONDS
        )
        late_runs = [run for run in runs if run.started_at > latest]
        if late_runs and not reply.disconnected:
            found.append(f"{job.name} started after its answer")
    return found


def _is_complete(reply: calls.Reply) -> bool:
    return reply.status == http.HTTPStatus.OK and reply.body == {
        "state": "completed"
    }
