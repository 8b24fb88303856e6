"""Tests of the answers to jobs that have failed."""

import cowslipgate_core as core
import pytest

from cowslipgate_entry.callers import _answers


# Guards against a job that is sent again as if nothing of it had run.
@pytest.mark.parametrize(
    ("started", "status", "retry_after"),
    [
        (core.Started.NONE, 503, "0"),
        (core.Started.SOME, 502, None),
        (core.Started.UNKNOWN, 502, None),
    ],
)
def test_job_of_a_stopping_entry_is_told_what_ran(
    started: core.Started, status: int, retry_after: str | None
) -> None:
    answer = core.JobAnswer(
        "job-1", failure=core.Failure.STOPPING, started=started
    )
    encoded = _answers.answer_job(answer)
    assert encoded.status == status
    assert encoded.headers.get("Retry-After") == retry_after
