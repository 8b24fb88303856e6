"""Tests that the records of ended jobs at an entry stay bounded."""

import cowslipgate_core as core
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _admission
from cowslipgate_entry.callers import _ended_jobs
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders

KEPT = 5
UNAVAILABLE = _requests.ClaimOutcome.UNAVAILABLE
TAKEN = _requests.ClaimOutcome.TAKEN


class _ClaimHarness:
    """A dispatcher whose jobs with keys get chosen claim outcomes."""

    def __init__(self) -> None:
        self.harness = builders.DispatcherHarness()
        root = self.harness.root
        self.claims = control_builders.Recorder("claims").register(root)
        self.gateway = control_builders.Recorder("gateway").register(root)

    def run(
        self, outcome: _requests.ClaimOutcome, known: str = ""
    ) -> core.JobAnswer:
        """Submit a job, end its claim and return the job's answer."""
        submission = control_builders.build_submission("key")
        self.harness.fire(_events.submit_job(submission))
        ((claim,),) = self.claims.take("claim_job")
        self.harness.fire(_events.job_claimed(claim, outcome, known))
        ((_, answer),) = self.gateway.take("job_answered")
        return answer


@pytest.mark.parametrize(
    ("later", "status"), [(KEPT - 1, "failed"), (KEPT, "unknown")]
)
def test_jobs_with_keys_that_ended_are_remembered_up_to_a_number(
    monkeypatch: pytest.MonkeyPatch, later: int, status: str
) -> None:
    monkeypatch.setattr(_ended_jobs, "MAX_ENDED", KEPT)
    harness = _ClaimHarness()
    first = harness.run(UNAVAILABLE)
    for _ in range(later):
        harness.run(UNAVAILABLE)
    assert harness.run(TAKEN, first.job).claimed_status == status


def test_answered_jobs_are_not_watched_without_targets() -> None:
    harness = builders.DispatcherHarness()
    admission = _admission.Admission(harness.dispatcher.ledger)
    for number in range(KEPT):
        request = core.JobRequest((core.TaskRequest(),))
        job = core.Job(
            f"job-{number}",
            "hall",
            "print",
            request,
            harness.clock.now(),
            harness.clock.now(),
            harness.dispatcher.ledger.make_machine(),
        )
        admission.add_job(job)
        admission.forget_job(job)
    assert admission.unverified == 0
