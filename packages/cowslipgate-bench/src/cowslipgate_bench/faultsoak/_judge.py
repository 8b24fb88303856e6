"""The judge: promises checked from what callers were told and targets did."""

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
"""Answers by which a caller is told that nothing of its job ran."""

ORDER_SECONDS = 1.2
"""An order that left before an answer starts no later than its lease of a
second allows, by a clock that may be 2% slow."""

MOST_RUNS = target_standin.MILLICORES // calls.CORES_MILLI
"""Runs that fill the room of a target."""


@attrs.frozen
class Sent:
    """A job and what its caller was told."""

    job: calls.JobSpec
    """The job."""

    reply: calls.Reply
    """The last answer."""


def find_violations(
    sent: Iterable[Sent], runs: Sequence[target_standin.Run]
) -> list[str]:
    """Return what broke a promise, a line each.

    :param runs: runs of all targets, all ended unless something runs on
    """
    by_job = collections.defaultdict(list)
    for run in runs:
        by_job[run.task.partition(".")[0]].append(run)
    found = find_overlaps(runs)
    found += find_crowded(runs)
    for one in sent:
        found += _judge_job(one, by_job[one.job.name])
    return found


def find_overlaps(runs: Iterable[target_standin.Run]) -> list[str]:
    """Return the tasks that ran twice at the same time.

    A task may run again after it was done: its entry or agent may have died
    with the result.
    """
    by_task = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.began_at):
        by_task[run.task].append(run)
    return [
        f"{task}: run {second.number} began before {first.number} ended"
        for task, listed in by_task.items()
        for first, second in itertools.pairwise(listed)
        if first.ended_at is None or first.ended_at > second.began_at
    ]


def find_crowded(runs: Iterable[target_standin.Run]) -> list[str]:
    """Return the targets on which more ran than there was room for."""
    steps = collections.defaultdict(list)
    for run in runs:
        steps[run.target].append((run.began_at, 1))
        if run.ended_at is not None:
            steps[run.target].append((run.ended_at, -1))
    found = []
    for target, listed in steps.items():
        # Ends come before begins of the same instant.
        counts = itertools.accumulate(step for _, step in sorted(listed))
        most = max(counts)
        if most > MOST_RUNS:
            found.append(f"{target}: {most} runs at once")
    return found


def _judge_job(sent: Sent, runs: list[target_standin.Run]) -> list[str]:
    job, reply = sent.job, sent.reply
    done = {run.task for run in runs if run.how == "done"}
    found = []
    if _is_complete(reply) and len(done) != job.tasks:
        found.append(f"{job.name} was answered with a task undone")
    # An entry that is asked later tells of itself alone.
    if reply.status in NOT_RUN_STATUSES and runs and reply.tries == 1:
        found.append(f"{job.name} ran though it was refused")
    if reply.status == 0 and not reply.left:
        found.append(f"{job.name} got no answer in {reply.tries} tries")
    if any(run.ended_at is None for run in runs):
        found.append(f"{job.name} runs on after the day")
    if reply.known_at is not None:
        latest = reply.known_at + datetime.timedelta(seconds=ORDER_SECONDS)
        late = [run for run in runs if run.began_at > latest]
        if late and not reply.left:
            found.append(f"{job.name} started after its answer")
    return found


def _is_complete(reply: calls.Reply) -> bool:
    return reply.status == http.HTTPStatus.OK and reply.body == {
        "state": "completed"
    }
