"""Checks guarantees by what targets and callers recorded.

No counter of the system itself is read. Each task's payload carries a unique
token, which the target writes to its journal at the start and echoes.
"""

import collections
from collections.abc import Iterable
import http
from typing import Any

import attrs


@attrs.frozen
class Submission:
    """One request of a caller and its answer."""

    tokens: tuple[str, ...]
    """Token of each task, in order."""

    status: int = 0
    """HTTP status, or zero when the connection ended without an answer."""

    answer: Any = None
    """Decoded body of the answer."""

    has_idempotency_key: bool = False
    """Whether it has an idempotency key, so another may share its tokens."""

    disconnected: bool = False
    """Whether the caller closed the connection before an answer."""

    entry_killed: bool = False
    """Whether a killed entry excuses a missing answer."""

    started_at: float = 0.0
    """Monotonic time in seconds when the caller connected."""

    ended_at: float = 0.0
    """Monotonic time in seconds of the answer or of the lost connection."""

    @property
    def complete(self) -> bool:
        """Whether the answer says that the job is complete."""
        return self.status == http.HTTPStatus.OK

    @property
    def started(self) -> str:
        """Which tasks of a failed job started: none, some or unknown."""
        if not isinstance(self.answer, dict):
            return ""
        return self.answer.get("error", {}).get("started", "")


@attrs.define
class CheckResult:
    """Counts of answers and starts, and the violated guarantees."""

    jobs: int = 0
    """Number of submissions."""

    answers: int = 0
    """Submissions with an answer."""

    complete: int = 0
    """Answers of complete jobs."""

    starts: int = 0
    """Starts in the targets' journals."""

    answered_none: int = 0
    """Failed jobs whose answers say that no task started."""

    answered_unknown: int = 0
    """Failed jobs whose answers say that starts are unknown."""

    unknown_without_start: int = 0
    """Those of ``answered_unknown`` of which no task started."""

    excused: int = 0
    """Requests without an answer while an entry was killed."""

    duplicates: list[str] = attrs.Factory(list)
    """Tokens that started more than once."""

    false_none: list[str] = attrs.Factory(list)
    """Tokens that started although the answer says none did."""

    false_some: list[tuple[str, ...]] = attrs.Factory(list)
    """Jobs of which no task started although the answer says some did."""

    partial: list[tuple[str, ...]] = attrs.Factory(list)
    """Complete jobs with missing or misplaced results, or too few starts."""

    foreign_results: list[tuple[str, ...]] = attrs.Factory(list)
    """Complete jobs with a result of another job's task."""

    unanswered: list[tuple[str, ...]] = attrs.Factory(list)
    """Requests without an answer though neither caller nor entry ended."""

    def find_violations(self) -> dict[str, list[Any]]:
        """Return the violations by field name, without empty lists."""
        violations = {
            "duplicates": self.duplicates,
            "false_none": self.false_none,
            "false_some": self.false_some,
            "partial": self.partial,
            "crossed": self.foreign_results,
            "cut": self.unanswered,
        }
        return {name: items for name, items in violations.items() if items}


def excuse_missing_answer(
    submission: Submission, kills: Iterable[tuple[float, float]]
) -> Submission:
    """Return a submission marked as excused if it overlaps a kill.

    :param kills: begin and end of each outage in monotonic seconds
    """
    overlaps = any(
        submission.started_at <= until and since <= submission.ended_at
        for since, until in kills
    )
    if not overlaps:
        return submission
    return attrs.evolve(submission, entry_killed=True)


def check_submissions(
    submissions: Iterable[Submission], journal: Iterable[dict[str, Any]]
) -> CheckResult:
    """Compare the answers with the targets' journals."""
    journal = list(journal)
    starts = count_starts(journal)
    jobs = {
        line["task"].partition(".")[0]
        for line in journal
        if line["event"] == "start"
    }
    check_result = CheckResult(starts=starts.total())
    check_result.duplicates = [t for t, count in starts.items() if count > 1]
    for submission in submissions:
        check_result.jobs += 1
        if submission.status:
            check_result.answers += 1
            _check_answer(submission, starts, jobs, check_result)
        elif submission.entry_killed:
            check_result.excused += 1
        elif not submission.disconnected:
            check_result.unanswered.append(submission.tokens)
    return check_result


def count_starts(
    journal: Iterable[dict[str, Any]],
) -> collections.Counter[str]:
    """Return the number of starts of each token."""
    return collections.Counter(
        line["token"] for line in journal if line["event"] == "start"
    )


def _check_answer(
    submission: Submission,
    starts: collections.Counter[str],
    jobs: set[str],
    check_result: CheckResult,
) -> None:
    started = [token for token in submission.tokens if starts[token]]
    if submission.complete:
        check_result.complete += 1
        _check_results(submission, started, check_result)
        return
    if submission.started == "none":
        check_result.answered_none += 1
        check_result.false_none.extend(
            _list_own_starts(submission, started, jobs)
        )
    if submission.started == "unknown":
        check_result.answered_unknown += 1
        check_result.unknown_without_start += not started
    if submission.started == "some" and not started:
        check_result.false_some.append(submission.tokens)


def _list_own_starts(
    submission: Submission, started: list[str], jobs: set[str]
) -> list[str]:
    # Two submissions with one key share tokens, and the answer to a refused
    # one covers only its own job, so starts of the other job are left out.
    if submission.has_idempotency_key and submission.answer["job"] not in jobs:
        return []
    return started


def _check_results(
    submission: Submission, started: list[str], check_result: CheckResult
) -> None:
    results = submission.answer["results"]
    echoed = tuple(result["echo"]["token"] for result in results)
    if set(echoed) - set(submission.tokens):
        check_result.foreign_results.append(submission.tokens)
    if echoed != submission.tokens or len(started) < len(echoed):
        check_result.partial.append(submission.tokens)
