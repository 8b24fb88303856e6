"""Tests of refusals by forecast, and of when refused callers come back.

The load is a burst of jobs of one second on a target with eight slots.
"""

import datetime

import circuits
import cowslipgate_core as core
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _answers
from cowslipgate_entry.callers import _retry_after
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _job_log
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.tests import builders
import cowslipgate_transport as transport

SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=100)
DOCUMENT = {
    "services": {"print": {"admission": "forecast"}},
    "teams": {"hall": {}},
    "routes": {"r": {"service": "print", "share": 0.5, "priority": 2}},
}


class _Recorder(circuits.BaseComponent):
    """Records answers and log records."""

    channel = "recorder"

    def __init__(self) -> None:
        super().__init__()
        self.refused: list[core.JobAnswer] = []
        self.answered: list[core.JobAnswer] = []
        self.changes: list[_changes.Change] = []

    @circuits.handler("job_refused", channel="*")
    def _on_job_refused(
        self, submission: object, answer: core.JobAnswer
    ) -> None:
        self.refused.append(answer)

    @circuits.handler("job_answered", channel="*")
    def _on_job_answered(self, job: core.Job, answer: core.JobAnswer) -> None:
        self.answered.append(answer)

    @circuits.handler("changed", channel="*")
    def _on_changed(self, change: _changes.Change) -> None:
        self.changes.append(change)


class _Server:
    """Stub of an HTTP server."""

    connections = 0


class _Overloaded:
    """A dispatcher with 8 running jobs, and its observers."""

    def __init__(self, document: dict[str, object]) -> None:
        self.harness = builders.DispatcherHarness()
        self.recorder = _Recorder().register(self.harness.root)
        dispatcher, clock = self.harness.dispatcher, self.harness.clock
        self.metrics = _metrics.Metrics(dispatcher, _Server(), clock)
        for observer in (
            self.metrics,
            _job_log.JobLog(dispatcher, clock),
            _state_change_log.StateChangeLog(dispatcher, builders.MEMBER),
        ):
            observer.register(self.harness.root)
        self.adopt(2, document)
        self.harness.deliver(builders.build_report())
        for _ in range(core.MAX_HISTORY_RUNS // 100):
            dispatcher.ledger.estimates.observe(
                "agent-1", "hall", "", 100.0, 1_000.0
            )

    def adopt(self, version: int, document: dict[str, object]) -> None:
        """Adopt a configuration."""
        configuration = core.parse_configuration(version, document)
        for channel in ("dispatcher", "gateway"):
            event = _events.configuration_adopted(configuration)
            self.harness.fire(event, channel)

    def submit(self, jobs: int) -> None:
        """Submit jobs of one second."""
        for _ in range(jobs):
            self.harness.submit()

    def run(self, seconds: float) -> None:
        """Let time pass in ticks; the runs go on."""
        for _ in range(round(seconds * SECOND / TICK)):
            self.harness.clock.advance(TICK)
            self.harness.deliver(builders.build_report())
            self.harness.fire(_events.tick())


# Guards against callers that wait to the end, come back all at once, or are
# told that a job may have run.
def test_jobs_of_a_burst_are_refused_at_the_next_tick_and_spread() -> None:
    overloaded = _Overloaded(DOCUMENT)
    overloaded.submit(800)
    overloaded.run(0.1)
    answers = overloaded.recorder.answered
    assert len(answers) > 300
    assert {answer.failure for answer in answers} == {core.Failure.OVERLOADED}
    assert {answer.started for answer in answers} == {core.Started.NONE}
    delays = [answer.retry_after / SECOND for answer in answers]
    assert len(set(delays)) > 10
    assert max(delays.count(delay) for delay in set(delays)) < 0.2 * len(
        delays
    )
    assert 15 <= min(delays) <= max(delays) <= 30


def test_submission_behind_too_much_work_is_refused_with_its_forecast() -> (
    None
):
    overloaded = _Overloaded(DOCUMENT)
    overloaded.submit(800)
    overloaded.run(0.1)
    service = {"admission": "forecast", "default_deadline_ms": 20_000}
    overloaded.adopt(3, DOCUMENT | {"services": {"print": service}})
    overloaded.submit(1)
    (answer,) = overloaded.recorder.refused
    assert answer.failure is core.Failure.OVERLOADED
    assert answer.rate == pytest.approx(8.0, rel=0.1)
    (line,) = [
        change
        for change in overloaded.recorder.changes
        if isinstance(change, _changes.JobRefused)
    ]
    assert line.forecast_ms == round(answer.forecast / SECOND * 1_000)
    assert line.rate == round(answer.rate, 3)
    rendered = overloaded.metrics.render().decode()
    assert 'cowslipgate_start_rate{service="print"}' in rendered
    wait = 'cowslipgate_forecast_wait_seconds{service="print",priority="2"}'
    assert wait in rendered
    refusals = len(overloaded.recorder.answered) + 1
    assert overloaded.metrics.families.overloads.get("none") == refusals


# Guards against a service that behaves otherwise without the feature.
def test_default_admission_names_no_time_to_come_back() -> None:
    overloaded = _Overloaded(builders.DOCUMENT)
    overloaded.submit(800)
    overloaded.run(0.1)
    assert not overloaded.recorder.answered
    for answer in overloaded.recorder.refused:
        assert (answer.retry_after, answer.forecast) == (None, None)
    assert not overloaded.harness.dispatcher.ledger.overload.list_rates()


def test_enabled_features_are_logged_once() -> None:
    overloaded = _Overloaded(DOCUMENT)
    overloaded.adopt(3, DOCUMENT)
    features = [
        (change.feature, change.reason)
        for change in overloaded.recorder.changes
        if isinstance(change, transport.FeatureEnabled)
    ]
    assert features == [
        ("admission by forecast", "$.services.print.admission"),
        ("shares", "$.routes.r.share"),
    ]


# Guards against callers that return together, or not before their caller's
# own limits.
@pytest.mark.parametrize(
    ("backlog_seconds", "least", "most", "distinct"),
    [(0.0, 1, 1, 1), (2.0, 2, 4, 2), (10.0, 10, 20, 10), (90.0, 15, 30, 15)],
)
def test_refused_callers_return_over_an_interval_like_the_backlog(
    backlog_seconds: float, least: int, most: int, distinct: int
) -> None:
    delays = [
        _retry_after.choose_retry_after(backlog_seconds, f"job-{n}") / SECOND
        for n in range(500)
    ]
    assert least <= min(delays) <= max(delays) <= most
    assert len(set(delays)) >= distinct
    assert all(delay.is_integer() for delay in delays)


def test_retry_after_of_the_answer_is_sent() -> None:
    answer = core.JobAnswer(
        "job-1", failure=core.Failure.OVERLOADED, retry_after=7 * SECOND
    )
    assert _answers.answer_job(answer).headers["Retry-After"] == "7"
