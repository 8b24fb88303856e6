"""Tests of the checker: each kind of violation is found."""

from typing import Any

from cowslipgate_bench import _checker
import pytest

TOKENS = ("a/0", "a/1")


def _build_journal(*tokens: str) -> list[dict[str, Any]]:
    return [
        {"event": "start", "task": "job-1.0.1", "token": token}
        for token in tokens
    ]


def _build_complete(*tokens: str) -> _checker.Submission:
    results = [{"echo": {"token": token}} for token in tokens]
    return _checker.Submission(TOKENS, 200, {"results": results})


def _build_failed(started: str) -> _checker.Submission:
    return _checker.Submission(TOKENS, 502, {"error": {"started": started}})


@pytest.mark.parametrize(
    ("submission", "starts", "violations"),
    [
        (_build_complete("a/0", "a/1"), ("a/0", "a/1"), set()),
        (_build_complete("a/0", "a/1"), ("a/0", "a/1", "a/1"), {"duplicates"}),
        (_build_complete("a/0"), ("a/0", "a/1"), {"partial"}),
        (_build_complete("a/1", "a/0"), ("a/0", "a/1"), {"partial"}),
        (_build_complete("a/0", "a/1"), ("a/0",), {"partial"}),
        (
            _build_complete("a/0", "b/1"),
            ("a/0", "a/1"),
            {"crossed", "partial"},
        ),
        (_build_failed("none"), (), set()),
        (_build_failed("none"), ("a/1",), {"false_none"}),
        (_build_failed("some"), (), {"false_some"}),
        (_build_failed("unknown"), ("a/1",), set()),
        (_checker.Submission(TOKENS), (), {"cut"}),
        (_checker.Submission(TOKENS, disconnected=True), (), set()),
        (_checker.Submission(TOKENS, entry_killed=True), ("a/0",), set()),
    ],
)
def test_checker_finds_each_violation(
    submission: _checker.Submission,
    starts: tuple[str, ...],
    violations: set[str],
) -> None:
    check_result = _checker.check_submissions(
        [submission], _build_journal(*starts)
    )
    assert set(check_result.find_violations()) == violations


@pytest.mark.parametrize(
    ("job", "violations"), [("job-1", {"false_none"}), ("job-2", set())]
)
def test_refused_repetition_is_checked_against_its_own_job(
    job: str, violations: set[str]
) -> None:
    answer = {"job": job, "error": {"started": "none"}}
    submission = _checker.Submission(
        TOKENS, 409, answer, has_idempotency_key=True
    )
    check_result = _checker.check_submissions(
        [submission], _build_journal("a/0")
    )
    assert set(check_result.find_violations()) == violations


@pytest.mark.parametrize(
    ("since", "until", "excused"),
    [(0.0, 1.0, False), (1.0, 2.5, True), (3.0, 9.0, True), (5.0, 9.0, False)],
)
def test_missing_answer_is_excused_only_while_an_entry_was_down(
    since: float, until: float, excused: bool
) -> None:
    submission = _checker.Submission(TOKENS, started_at=2.0, ended_at=4.0)
    checked = _checker.excuse_missing_answer(submission, [(since, until)])
    assert checked.entry_killed is excused


def test_checker_counts_unknown_answers_without_a_start() -> None:
    submissions = [_build_failed("unknown"), _build_failed("unknown")]
    check_result = _checker.check_submissions(submissions, [])
    assert (
        check_result.answered_unknown,
        check_result.unknown_without_start,
    ) == (2, 2)
