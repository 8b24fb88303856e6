"""Tests of the choice between waiting near the data and running elsewhere.

Load: a hot rack, where several jobs name the label of the same data while
targets elsewhere are idle. Running away from the data takes 1.5 times as long.
"""

import datetime

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

NEEDS = core.Resources(0, 0, 1_000)
PLACES = 2
SECONDS = 1.0
TERMS = core.JobTerms(preferred_label="r1", away_factor=1.5)


def _build_view(
    agent: str, label: str, used: int = 0, speed: float = 1.0
) -> core.TargetView:
    room = core.Resources(0, 0, PLACES * 1_000, (label,))
    return core.TargetView(
        agent,
        room,
        core.UNBOUNDED_SLOTS,
        used,
        speed,
        room=room,
        used=core.Resources(0, 0, used * 1_000),
    )


def _place(
    views: list[core.TargetView],
    tasks: tuple[int, ...],
    elapsed: float | None = None,
    terms: core.JobTerms = TERMS,
) -> list[tuple[str, str]]:
    """Return job and agent of each task that is sent now.

    :param tasks: number of tasks of each job
    :param elapsed: seconds that all tasks in use at the rack have run, or
        None if they are those of other entries
    """
    pool = core.Pool(views)
    pool.typical_needs = NEEDS
    pool.running = core.OverdueTasks()
    pool.rank_targets()
    for view in views:
        for number in range(view.occupied if elapsed is not None else 0):
            sent_at = builders.NOW - datetime.timedelta(seconds=elapsed)
            pool.running.start(view.agent, number, SECONDS, sent_at)
    jobs = []
    for number, count in enumerate(tasks):
        name = f"job-{number}"
        waiting = [
            core.WaitingTask(name, index, SECONDS, NEEDS, SECONDS)
            for index in range(count)
        ]
        job = core.WaitingJob(
            name, "hall", builders.NOW, waiting, number + 1.0, terms
        )
        jobs.append(job)
    chosen = core.choose_assignments(
        core.LateBinding(), jobs, pool, {"hall": 100}, builders.NOW
    )
    return [(each.job, each.agent) for each in chosen]


def _build_rack(used: int, far_speed: float = 1.0) -> list[core.TargetView]:
    return [
        _build_view("near", "r1", used),
        _build_view("far", "r2", 0, far_speed),
        _build_view("far-2", "r3", 0, far_speed),
    ]


@pytest.mark.parametrize(
    ("elapsed", "sent"),
    [
        # 0.1 s until there is room, and 1 s: before the 1.5 s elsewhere.
        (0.9, []),
        # 0.8 s and 1 s are longer.
        (0.2, [("job-0", "far")]),
        # The tasks there are late by 0.6 s, and may have stalled.
        (1.6, [("job-0", "far")]),
        # Nothing is known of when the tasks of other entries began.
        (None, [("job-0", "far")]),
    ],
)
def test_task_waits_for_its_data_if_it_ends_first_there(
    elapsed: float | None, sent: list[tuple[str, str]]
) -> None:
    assert _place(_build_rack(PLACES), (1,), elapsed) == sent


def test_jobs_that_would_wait_behind_others_go_elsewhere() -> None:
    """Otherwise all wait for the two places that become free soon."""
    sent = _place(_build_rack(PLACES), (2, 2), 0.9)
    assert [job for job, _ in sent] == ["job-1", "job-1"]


def test_places_that_are_free_near_the_data_are_used_first() -> None:
    sent = _place(_build_rack(0), (1, 1, 1))
    assert dict(sent) == {"job-0": "near", "job-1": "near", "job-2": "far"}


def test_fast_target_elsewhere_is_better_than_a_place_near_the_data() -> None:
    assert _place(_build_rack(0, 2.0), (1,)) == [("job-0", "far")]


def test_data_without_a_usable_target_does_not_hold_a_task() -> None:
    views = _build_rack(0)
    views[0].awaits_load = True
    assert _place(views, (1,)) == [("job-0", "far")]


def test_rack_that_cannot_hold_a_task_does_not_delay_it() -> None:
    views = _build_rack(0)
    views[0].resources = core.Resources(0, 0, 500, ("r1",))
    views[0].room = views[0].resources
    assert _place(views, (1,)) == [("job-0", "far")]


def test_job_without_a_label_uses_any_target() -> None:
    sent = _place(
        _build_rack(PLACES), (2, 2), 0.9, core.JobTerms(away_factor=1.5)
    )
    assert len(sent) == 4


def test_ledger_knows_what_runs_near_the_data() -> None:
    """The forecast rests on the attempts that the entry has sent."""
    ledger = core.Ledger(core.Matching())
    for number in range(2):
        room = core.Resources(0, 0, 1_000, (f"r{number + 1}",))
        report = core.Report(
            f"agent-{number}",
            1,
            "print",
            "ruwi",
            "serving",
            room,
            core.Load(core.UNBOUNDED_SLOTS, 0, 0),
            1,
            "",
            room=room,
        )
        ledger.handle_report(report, builders.NOW)
    sent = []
    for delay_ms in (0, 90):
        now = builders.NOW + datetime.timedelta(milliseconds=delay_ms)
        request = core.JobRequest(
            (core.TaskRequest(size_ms=100.0, needs=NEEDS),)
        )
        job = core.Job(
            f"job-{delay_ms}",
            "hall",
            "print",
            request,
            now,
            now + datetime.timedelta(seconds=30),
            ledger.make_machine(),
            terms=TERMS,
        )
        ledger.submit(job)
        sent += [a.agent for a in ledger.assign(now, {"hall": 100})]
    assert sent == ["agent-0"], "the second job waits 10 ms for the rack"
