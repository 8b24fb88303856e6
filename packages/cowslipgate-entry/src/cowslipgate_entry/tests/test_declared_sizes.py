"""Tests that declared task sizes alone do not get a job refused."""

import cowslipgate_core as core

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.tests import builders

DEADLINE_MS = 20_000
DECLARED_MS = 100 * DEADLINE_MS


def test_job_that_declares_more_than_its_deadline_is_sent() -> None:
    harness = builders.DispatcherHarness()
    harness.deliver(builders.build_report())
    task = core.TaskRequest(size_ms=DECLARED_MS)
    request = core.JobRequest((task,), deadline_ms=DEADLINE_MS)
    submission = _requests.Submission(None, "hall", "print", request, "", "")
    harness.fire(_events.submit_job(submission))
    assert len(harness.outbox.take(core.Dispatch)) == 1
