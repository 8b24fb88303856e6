"""Tests that the checks of the fault soak find each kind of violation."""

import datetime
import json
import pathlib

import attrs
import pytest

from cowslipgate_bench import _proxy
from cowslipgate_bench import faultsoak

STARTED_AT = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
JOB = faultsoak.JobSpec("0000000000000001", 1, 300)
COMPLETED = {"state": "completed"}


def _later(seconds: float) -> datetime.datetime:
    return STARTED_AT + datetime.timedelta(seconds=seconds)


def _run(starts: float, ends: float | None, number: int = 1) -> faultsoak.Run:
    """Return a run of the job's task; times are seconds after STARTED_AT."""
    task = f"{JOB.name}.0.0.0"
    ended = None if ends is None else _later(ends)
    due = _later(starts + 0.3)
    return faultsoak.Run(
        "side-1", task, number, _later(starts), due, ended, "done"
    )


def _reply(
    status: int, body: object = None, tries: int = 1, left: bool = False
) -> faultsoak.Reply:
    """Return a reply that came a second after STARTED_AT."""
    return faultsoak.Reply(status, body, tries, left, _later(1))


@pytest.mark.parametrize(
    ("reply", "runs", "violation"),
    [
        (_reply(200, COMPLETED), [_run(0, 0.3)], ""),
        (_reply(200, COMPLETED), [], "answered with a task undone"),
        (_reply(200, {"state": "failed"}), [], ""),
        (_reply(503), [], ""),
        (_reply(503), [_run(0, 0.3)], "ran though it was refused"),
        (_reply(503, tries=2), [_run(0, 0.3)], ""),
        (_reply(0, tries=12), [], "got no answer in 12 tries"),
        (_reply(0, left=True), [], ""),
        (_reply(200, COMPLETED), [_run(0, None)], "runs on after the day"),
        (
            _reply(200, COMPLETED),
            [_run(0, 0.3), _run(2.3, 2.6, 2)],
            "started after its answer",
        ),
        (
            _reply(200, COMPLETED),
            [_run(0, 0.3), _run(0.2, 0.5, 2)],
            "run 2 began before 1 ended",
        ),
        (_reply(200, COMPLETED), [_run(0, 0.3), _run(0.3, 0.6, 2)], ""),
    ],
)
def test_violations_by_reply_and_runs(
    reply: faultsoak.Reply, runs: list[faultsoak.Run], violation: str
) -> None:
    sent = faultsoak.SentJob(JOB, reply)
    found = faultsoak.find_violations([sent], runs)
    assert len(found) == bool(violation)
    assert violation in "".join(found)


@pytest.mark.parametrize(("runs", "overcommitted"), [(8, False), (9, True)])
def test_target_with_more_runs_than_its_room_is_a_violation(
    runs: int, overcommitted: bool
) -> None:
    listed = [
        attrs.evolve(_run(0, 0.3), task=f"{number:016x}.0.0.0")
        for number in range(runs)
    ]
    found = faultsoak.find_violations((), listed)
    assert [line.endswith("9 runs at once") for line in found] == (
        [True] if overcommitted else []
    )


@pytest.mark.parametrize(
    ("unfinished_jobs", "left"),
    [([], False), ([0], False), ([2], True), ([2, 0], False), ([0, 2], True)],
)
def test_last_drain_decides_whether_jobs_were_left_unfinished(
    unfinished_jobs: list[int], left: bool, tmp_path: pathlib.Path
) -> None:
    log = tmp_path / "entry.log"
    lines = [{"event": "ProcessStarted"}]
    lines += [
        {"event": "DrainEnded", "jobs": jobs} for jobs in unfinished_jobs
    ]
    log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    with _proxy.Proxy() as proxy:
        link = proxy.open_link()
        node = faultsoak.Node(
            faultsoak.Role.ENTRY, "127.0.0.1", tmp_path, log, link, link
        )
        assert node.left_unfinished_jobs() is left
