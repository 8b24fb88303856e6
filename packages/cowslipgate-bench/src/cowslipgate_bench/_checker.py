"""The judge: promises checked from what targets and callers saw.

Nothing here reads a counter of the system's own. Each task's payload carries
a token used once, which the target writes down at the start and echoes.
"""

import collections
from collections.abc import Iterable
import http
from typing import Any

import attrs


@attrs.frozen
class Submission:
    """One request of a caller and what came of it."""

    tokens: tuple[str, ...]
    """Token of each task, in order."""

    status: int = 0
    """HTTP status, or zero when the connection ended without an answer."""

    answer: Any = None
    """Decoded body of the answer."""

    keyed: bool = False
    """Whether another submission may have the same tokens and key."""

    gone: bool = False
    """Whether the caller went away by itself."""

    entry_died: bool = False
    """Whether the entry that was asked was killed meanwhile."""

    began: float = 0.0
    """Monotonic time in seconds when the caller connected."""

    ended: float = 0.0
    """Monotonic time in seconds when the caller knew."""

    @property
    def complete(self) -> bool:
        """Whether the caller was told that the job is complete."""
        return self.status == http.HTTPStatus.OK

    @property
    def started(self) -> str:
        """What the caller was told of the tasks of a failed job."""
        if not isinstance(self.answer, dict):
            return ""
        return self.answer.get("error", {}).get("started", "")


@attrs.define
class Verdict:
    """Counts of what was promised and what was broken."""

    jobs: int = 0
    """Submissions."""

    answers: int = 0
    """Submissions that were answered."""

    complete: int = 0
    """Answers that said complete."""

    starts: int = 0
    """Starts that targets wrote down."""

    said_none: int = 0
    """Answers that said that nothing was started."""

    said_unknown: int = 0
    """Answers that could not tell."""

    unknown_without_start: int = 0
    """Of those, the ones of which nothing ever started."""

    excused: int = 0
    """Requests without an answer because their entry was killed."""

    duplicates: list[str] = attrs.Factory(list)
    """Tokens that started more than once."""

    false_none: list[str] = attrs.Factory(list)
    """Tokens that started although the caller was told that none did."""

    false_some: list[tuple[str, ...]] = attrs.Factory(list)
    """Jobs said to have started of which nothing did."""

    partial: list[tuple[str, ...]] = attrs.Factory(list)
    """Jobs said to be complete with too few results or starts."""

    crossed: list[tuple[str, ...]] = attrs.Factory(list)
    """Jobs that got a result of another task."""

    cut: list[tuple[str, ...]] = attrs.Factory(list)
    """Requests without an answer though caller and entry lived."""

    def find_violations(self) -> dict[str, list[Any]]:
        """Return whatever broke a promise, by the name of the promise."""
        broken = {
            "duplicates": self.duplicates,
            "false_none": self.false_none,
            "false_some": self.false_some,
            "partial": self.partial,
            "crossed": self.crossed,
            "cut": self.cut,
        }
        return {name: items for name, items in broken.items() if items}


def excuse(
    submission: Submission, kills: Iterable[tuple[float, float]]
) -> Submission:
    """Excuse a missing answer while an entry was killed or missed.

    :param kills: intervals in monotonic seconds
    """
    died = any(
        submission.began <= until and since <= submission.ended
        for since, until in kills
    )
    if not died:
        return submission
    return attrs.evolve(submission, entry_died=True)


def judge(
    submissions: Iterable[Submission], journal: Iterable[dict[str, Any]]
) -> Verdict:
    """Compare what callers were told with what targets wrote down."""
    journal = list(journal)
    starts = count_starts(journal)
    jobs = {
        line["task"].partition(".")[0]
        for line in journal
        if line["event"] == "start"
    }
    verdict = Verdict(starts=starts.total())
    verdict.duplicates = [t for t, count in starts.items() if count > 1]
    for submission in submissions:
        verdict.jobs += 1
        if submission.status:
            verdict.answers += 1
            _judge_answer(submission, starts, jobs, verdict)
        elif submission.entry_died:
            verdict.excused += 1
        elif not submission.gone:
            verdict.cut.append(submission.tokens)
    return verdict


def count_starts(
    journal: Iterable[dict[str, Any]],
) -> collections.Counter[str]:
    """Return the number of starts by token."""
    return collections.Counter(
        line["token"] for line in journal if line["event"] == "start"
    )


def _judge_answer(
    submission: Submission,
    starts: collections.Counter[str],
    jobs: set[str],
    verdict: Verdict,
) -> None:
    started = [token for token in submission.tokens if starts[token]]
    if submission.complete:
        verdict.complete += 1
        _judge_results(submission, started, verdict)
        return
    if submission.started == "none":
        verdict.said_none += 1
        verdict.false_none.extend(_find_own(submission, started, jobs))
    if submission.started == "unknown":
        verdict.said_unknown += 1
        verdict.unknown_without_start += not started
    if submission.started == "some" and not started:
        verdict.false_some.append(submission.tokens)


def _find_own(
    submission: Submission, started: list[str], jobs: set[str]
) -> list[str]:
    # Of two submissions with one key the refused one tells of itself alone,
    # so its own job tells whether anything started for it.
    if submission.keyed and submission.answer["job"] not in jobs:
        return []
    return started


def _judge_results(
    submission: Submission, started: list[str], verdict: Verdict
) -> None:
    results = submission.answer["results"]
    echoed = tuple(result["echo"]["token"] for result in results)
    if set(echoed) - set(submission.tokens):
        verdict.crossed.append(submission.tokens)
    if echoed != submission.tokens or len(started) < len(echoed):
        verdict.partial.append(submission.tokens)
