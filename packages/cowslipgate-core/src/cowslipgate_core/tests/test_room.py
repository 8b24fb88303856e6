"""Tests of targets whose tasks share room, and of terms of placement."""

import cowslipgate_core as core
from cowslipgate_core.tests import builders
import pytest

QUOTAS = {"hall": 100}
ROOM = core.Resources(1_000, 2, 32_000)


def _build_report(
    agent: str = "agent-1", others_use: core.Resources = core.Resources()
) -> core.Report:
    load = core.Load(core.UNBOUNDED_SLOTS, 0, 0, others_use)
    return core.Report(
        agent,
        1,
        "print",
        "kaai-zuid",
        "serving",
        ROOM,
        load,
        0,
        "",
        room=ROOM,
    )


def _build_job(
    ledger: core.Ledger, tasks: int, needs: core.Resources
) -> core.Job:
    job = builders.build_job(ledger, tasks)
    task = core.TaskRequest(needs=needs)
    job.request = core.JobRequest((task,) * tasks)
    return job


@pytest.mark.parametrize(
    ("needs", "sent"),
    [
        (core.Resources(0, 0, 3_100), 10),
        (core.Resources(300, 0, 100), 3),
        (core.Resources(0, 1, 100), 2),
        (core.Resources(0, 0, 33_000), 0),
    ],
)
@pytest.mark.parametrize("policy", [core.LateBinding(), core.Matching()])
def test_entry_sends_as_many_tasks_as_fit(
    policy: core.Policy, needs: core.Resources, sent: int
) -> None:
    ledger = core.Ledger(policy)
    ledger.handle_report(_build_report(), builders.NOW)
    ledger.submit(_build_job(ledger, 20, needs))
    actions = ledger.assign(builders.NOW, QUOTAS)
    assert sum(len(action.orders) for action in actions) == sent


def test_room_of_other_entries_tasks_is_not_used() -> None:
    ledger = core.Ledger(core.LateBinding())
    others = core.Resources(0, 0, 30_000)
    ledger.handle_report(_build_report(others_use=others), builders.NOW)
    ledger.submit(_build_job(ledger, 2, core.Resources(0, 0, 2_000)))
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert len(action.orders) == 1


def test_room_is_free_again_after_an_end() -> None:
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(_build_report(), builders.NOW)
    ledger.submit(_build_job(ledger, 2, core.Resources(0, 0, 20_000)))
    ledger.assign(builders.NOW, QUOTAS)
    (attempt,) = ledger.attempts
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    results = core.Results(
        "agent-1",
        1,
        core.Load(core.UNBOUNDED_SLOTS, 0, 0),
        (report,),
    )
    ledger.handle_results(results, builders.NOW)
    assert ledger.assign(builders.NOW, QUOTAS)


def _announce(room: core.Resources, queue_limit: int = 16) -> core.Executor:
    executor = core.Executor(1, queue_limit)
    announcement = core.Announcement(
        "print",
        "http://127.0.0.1:9",
        core.UNBOUNDED_SLOTS,
        core.UNBOUNDED_SLOTS,
        room,
        room,
    )
    executor.announce(announcement, builders.NOW)
    return executor


def _dispatch(
    executor: core.Executor, entry: int, needs: tuple[core.Resources, ...]
) -> list[core.AttemptKey]:
    orders = tuple(
        core.Order(number, f"t.0.{number}", "", b"null", needs=each)
        for number, each in enumerate(needs, 1)
    )
    dispatch = core.Dispatch(entry, 1, 0, orders)
    actions = executor.dispatch(dispatch, builders.NOW)
    return [a.key for a in actions if isinstance(a, core.StartTask)]


def test_agent_limits_the_room_over_all_entries() -> None:
    executor = _announce(core.Resources(0, 0, 8_000))
    large = core.Resources(0, 0, 3_000)
    assert len(_dispatch(executor, 7, (large, large))) == 2
    assert not _dispatch(executor, 8, (large,))
    assert executor.measure_load(8).others_use == core.Resources(0, 0, 6_000)


@pytest.mark.parametrize(
    "outcome", [core.Outcome.FINISHED, core.Outcome.STOPPED]
)
def test_room_is_freed_when_the_end_is_reported(
    outcome: core.Outcome,
) -> None:
    executor = _announce(core.Resources(0, 0, 8_000))
    large = core.Resources(0, 0, 5_000)
    (key,) = _dispatch(executor, 7, (large,))
    assert not _dispatch(executor, 8, (large,))
    withdraw = core.Withdraw(7, 1, (key.attempt,), stop=True)
    stopping = executor.withdraw(withdraw, builders.NOW)
    assert not any(isinstance(a, core.StartTask) for a in stopping)
    report = core.AttemptReport(key.attempt, outcome)
    actions = executor.end_task(key, report, builders.NOW)
    started = [a.key for a in actions if isinstance(a, core.StartTask)]
    assert started == [core.AttemptKey(8, 1)]


def test_target_that_shrinks_starts_nothing_until_it_fits() -> None:
    executor = _announce(core.Resources(0, 0, 8_000))
    large = core.Resources(0, 0, 3_000)
    _dispatch(executor, 7, (large, large))
    smaller = core.Resources(0, 0, 4_000)
    announcement = core.Announcement(
        "print",
        "http://127.0.0.1:9",
        core.UNBOUNDED_SLOTS,
        core.UNBOUNDED_SLOTS,
        smaller,
        smaller,
    )
    executor.announce(announcement, builders.NOW)
    assert not _dispatch(executor, 8, (core.Resources(0, 0, 1_000),))


_NEAR = core.Resources(1_000, 0, 8_000, ("near",))
_FAR = core.Resources(1_000, 0, 8_000, ("far",))
_TASK = core.Resources(0, 0, 2_000)


def _place(
    policy: core.Policy,
    tasks: int,
    needs: core.Resources,
    terms: core.JobTerms,
) -> dict[str, int]:
    """Return the number of tasks sent to a near and a far target."""
    ledger = core.Ledger(policy)
    for agent, room in (("near", _NEAR), ("far", _FAR)):
        load = core.Load(core.UNBOUNDED_SLOTS, 0, 0)
        report = core.Report(
            agent, 1, "print", "d", "serving", room, load, 0, "", room=room
        )
        ledger.handle_report(report, builders.NOW)
    job = _build_job(ledger, tasks, needs)
    job.terms = terms
    ledger.submit(job)
    return {
        action.agent: len(action.orders)
        for action in ledger.assign(builders.NOW, QUOTAS)
    }


POLICIES = [
    core.LateBinding(),
    core.Matching(),
    core.LeastCompletion(),
    core.RoundRobin(),
]


@pytest.mark.parametrize("policy", POLICIES)
def test_required_label_is_respected(policy: core.Policy) -> None:
    needs = core.Resources(0, 0, 2_000, ("far",))
    assert _place(policy, 3, needs, core.DEFAULT_TERMS) == {"far": 3}


@pytest.mark.parametrize("policy", POLICIES)
def test_limit_per_target_is_respected(policy: core.Policy) -> None:
    terms = core.JobTerms(limit_per_target=1)
    placed = _place(policy, 4, _TASK, terms)
    assert placed == {"near": 1, "far": 1}


@pytest.mark.parametrize("policy", [core.LateBinding(), core.Matching()])
@pytest.mark.parametrize(
    ("tasks", "placed"),
    [(3, {"near": 3}), (4, {"near": 4}), (6, {"near": 4, "far": 2})],
)
def test_near_targets_are_filled_first(
    policy: core.Policy, tasks: int, placed: dict[str, int]
) -> None:
    terms = core.JobTerms(preferred_label="near", away_factor=1.2)
    assert _place(policy, tasks, _TASK, terms) == placed


@pytest.mark.parametrize("policy", POLICIES)
def test_limit_at_one_of_equal_targets_leaves_the_others_open(
    policy: core.Policy,
) -> None:
    ledger = core.Ledger(policy)
    for number in range(4):
        ledger.handle_report(_build_report(f"agent-{number}"), builders.NOW)
    job = _build_job(ledger, 6, _TASK)
    job.terms = core.JobTerms(limit_per_target=1)
    ledger.submit(job)
    actions = ledger.assign(builders.NOW, QUOTAS)
    assert sorted(len(action.orders) for action in actions) == [1, 1, 1, 1]


@pytest.mark.parametrize("policy", POLICIES)
def test_limit_at_a_target_leaves_an_equally_full_one_open(
    policy: core.Policy,
) -> None:
    ledger = core.Ledger(policy)
    ledger.handle_report(_build_report("agent-0"), builders.NOW)
    job = _build_job(ledger, 2, _TASK)
    job.terms = core.JobTerms(limit_per_target=1)
    ledger.submit(job)
    ledger.assign(builders.NOW, QUOTAS)
    ledger.handle_report(_build_report("agent-1", _TASK), builders.NOW)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert action.agent == "agent-1"


def test_limit_counts_only_tasks_that_have_not_ended() -> None:
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(_build_report(), builders.NOW)
    job = _build_job(ledger, 2, _TASK)
    job.terms = core.JobTerms(limit_per_target=1)
    ledger.submit(job)
    ledger.assign(builders.NOW, QUOTAS)
    assert not ledger.assign(builders.NOW, QUOTAS)
    (attempt,) = ledger.attempts
    report = core.AttemptReport(attempt, core.Outcome.FINISHED)
    load = core.Load(core.UNBOUNDED_SLOTS, 0, 0)
    results = core.Results("agent-1", 1, load, (report,))
    ledger.handle_results(results, builders.NOW)
    (action,) = ledger.assign(builders.NOW, QUOTAS)
    assert len(action.orders) == 1


def test_agent_without_a_queue_refuses_tasks_that_do_not_fit() -> None:
    executor = _announce(core.Resources(0, 0, 8_000), queue_limit=0)
    large = core.Resources(0, 0, 3_000)
    assert len(_dispatch(executor, 7, (large, large, large))) == 2
    (refusal,) = [
        report
        for report in _collect_refusals(executor, 8, large)
        if report.outcome is core.Outcome.NOT_STARTED
    ]
    assert refusal.reason is core.Reason.NO_ROOM
    small = core.Resources(0, 0, 2_000)
    assert len(_dispatch(executor, 9, (small,))) == 1


def _collect_refusals(
    executor: core.Executor, entry: int, needs: core.Resources
) -> list[core.AttemptReport]:
    order = core.Order(1, "t.0.1", "", b"null", needs=needs)
    dispatch = core.Dispatch(entry, 1, 0, (order,))
    return [
        report
        for action in executor.dispatch(dispatch, builders.NOW)
        if isinstance(action, core.SendReports)
        for report in action.reports
    ]


def test_target_that_refused_for_lack_of_room_is_used_after_a_report() -> None:
    ledger = core.Ledger(core.LateBinding())
    ledger.handle_report(_build_report(), builders.NOW)
    ledger.submit(_build_job(ledger, 1, _TASK))
    ledger.assign(builders.NOW, QUOTAS)
    (attempt,) = ledger.attempts
    report = core.AttemptReport(
        attempt, core.Outcome.NOT_STARTED, core.Reason.NO_ROOM
    )
    load = core.Load(core.UNBOUNDED_SLOTS, 0, 9, ROOM)
    results = core.Results("agent-1", 1, load, (report,))
    ledger.handle_results(results, builders.NOW)
    assert not ledger.assign(builders.NOW, QUOTAS)
    ledger.handle_report(_build_report(), builders.NOW)
    assert ledger.assign(builders.NOW, QUOTAS)
