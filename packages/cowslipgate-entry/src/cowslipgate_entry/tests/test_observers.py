"""Tests of metrics, traces and log records made from events."""

import datetime
import io
import json

import attrs
import circuits
import pytest

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.agents import _sender_check
from cowslipgate_entry.callers import _cancelled_jobs
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _sampler
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.observation import _traces
from cowslipgate_entry.tests import observer_builders
import cowslipgate_transport as transport

INTERNAL = _dispatcher.AGENTS_CHANNEL
SECOND = datetime.timedelta(seconds=1)


class _Server:
    """Stub of an HTTP server with five open connections."""

    connections = 5


class _Recorder(circuits.BaseComponent):
    """Records log changes and messages that no handler stopped."""

    channel = "recorder"

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[_changes.Change] = []
        self.messages: list[object] = []

    @circuits.handler("changed", channel="*")
    def _on_changed(self, change: _changes.Change) -> None:
        self.changes.append(change)

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, identity: bytes, message: object) -> None:
        self.messages.append(message)


def _flush_all(root: circuits.BaseComponent) -> None:
    while len(root):
        root.flush()


def _fire(
    root: circuits.BaseComponent, event: circuits.Event, *channels: str
) -> None:
    root.fire(event, *channels)
    _flush_all(root)


def _run_job(
    harness: observer_builders.ObserverHarness,
    root: circuits.BaseComponent,
    submission: _requests.Submission,
) -> core.Job:
    """Run a job of two tasks that wait 1 s and run 2 s at the target."""
    job = observer_builders.build_job(harness, submission)
    _fire(root, _events.job_accepted(submission, job), "gateway")
    harness.clock.advance(SECOND)
    harness.ledger.handle_report(
        observer_builders.build_report(), harness.clock.now()
    )
    (action,) = harness.ledger.assign(harness.clock.now(), {"hall": 9})
    message = core.Dispatch(7, 1, 1, action.orders)
    _fire(root, transport.send_message(b"agent-1/1", message), INTERNAL)
    harness.clock.advance(SECOND * 2)
    results = observer_builders.build_results(action, 2000.0)
    received = transport.message_received(b"agent-1/1", results)
    _fire(root, received, INTERNAL)
    (answer,) = harness.ledger.handle_results(results, harness.clock.now())
    answered = _events.job_answered(answer.job, answer.answer)
    _fire(root, answered, "gateway")
    reply = transport.Answer(200, b"{}")
    _fire(root, transport.answer_http(submission.exchange, reply), "gateway")
    return job


def _read_metrics(metrics: _metrics.Metrics) -> dict[str, float]:
    lines = metrics.render().decode().splitlines()
    pairs = [x.rsplit(" ", 1) for x in lines if not x.startswith("#")]
    return {name: float(value) for name, value in pairs}


def test_models_of_targets_are_logged_and_counted() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    recorder = _Recorder().register(root)
    dispatcher = harness.dispatcher
    _state_change_log.StateChangeLog(
        dispatcher, observer_builders.MEMBER
    ).register(root)
    metrics = _metrics.Metrics(dispatcher, _Server(), harness.clock)
    for number in range(3):
        report = attrs.evolve(
            observer_builders.build_report(),
            agent=f"agent-{number + 2}",
            domain=f"domain-{number}",
            resources=core.Resources(labels=("a",)),
        )
        harness.ledger.handle_report(report, harness.clock.now())
    for _ in range(2 * _state_change_log.AGENT_CHECK_TICKS):
        _fire(root, _events.tick(), "state-change-log")
    enabled, models = recorder.changes
    assert enabled.feature == "model-speeds"
    assert models == _changes.ModelsChanged(("a",), 3)
    page = metrics.render().decode()
    assert "cowslipgate_models 1" in page
    assert "cowslipgate_model_targets 3" in page


def test_a_complete_job_is_counted_in_the_metrics() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    _run_job(harness, root, observer_builders.build_submission())
    for message in (
        core.Withdraw(7, 1, (1,), False),
        core.Withdraw(7, 1, (1,), True),
        core.Acknowledge(7, (1,)),
        core.Beat(7, 1, ()),
        core.Release(7, 1),
    ):
        _fire(root, transport.send_message(b"agent-1/1", message), INTERNAL)
    error = core.WireError(b"", "p")
    _fire(root, transport.message_malformed(b"x", error), INTERNAL)
    refusal = core.JobAnswer("j", failure=core.Failure.OVERLOADED)
    submission = observer_builders.build_submission()
    _fire(root, _events.job_refused(submission, refusal), "gateway")
    action = _cancelled_jobs.CancellationAction
    for done, count in ((action.WRITTEN, 2), (action.WRITTEN, 3)):
        counted = _events.cancellations_counted(done, count)
        _fire(root, counted, "gateway")
    values = _read_metrics(metrics)
    expected = {
        'cowslipgate_cancellations_total{action="row_written"}': 5,
        'cowslipgate_jobs_total{outcome="complete"}': 1,
        'cowslipgate_refusals_total{type="overloaded"}': 1,
        'cowslipgate_sends_total{purpose="dispatch",work="useful"}': 2,
        'cowslipgate_sends_total{purpose="dispatch",work="wasted"}': 0,
        'cowslipgate_sends_total{purpose="inquiry",work="wasted"}': 1,
        'cowslipgate_sends_total{purpose="withdraw",work="wasted"}': 1,
        'cowslipgate_sends_total{purpose="acknowledge",work="wasted"}': 1,
        'cowslipgate_sends_total{purpose="beat",work="wasted"}': 1,
        'cowslipgate_sends_total{purpose="release",work="wasted"}': 1,
        'cowslipgate_domain_sends_total{domain="own"}': 2,
        'cowslipgate_attempts_total{outcome="finished"}': 2,
        "cowslipgate_starts_total": 2,
        'cowslipgate_slot_seconds_total{use="used"}': 4,
        'cowslipgate_slot_seconds_total{use="needed"}': 4,
        "cowslipgate_response_seconds_sum": 3,
        "cowslipgate_queue_wait_seconds_count": 2,
        'cowslipgate_agents{state="serving"}': 1,
        "cowslipgate_connections": 5,
        'cowslipgate_messages_malformed_total{reason="undecodable"}': 1,
    }
    assert {name: values.get(name) for name in expected} == expected
    assert values["cowslipgate_response_ratio_sum"] == pytest.approx(1.5)


def test_slot_seconds_are_reported_by_minute() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    _run_job(harness, root, observer_builders.build_submission())
    last = 'cowslipgate_slot_seconds_last_minute{use="used"}'
    busiest = 'cowslipgate_slot_seconds_busiest_minute{use="needed"}'
    assert _read_metrics(metrics)[last] == 0
    harness.clock.advance(SECOND * 60)
    values = _read_metrics(metrics)
    assert (values[last], values[busiest]) == (4, 4)
    harness.clock.advance(SECOND * 60)
    values = _read_metrics(metrics)
    assert (values[last], values[busiest]) == (0, 4)


def test_no_ratio_is_recorded_when_every_target_has_closed() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    closed = attrs.evolve(
        observer_builders.build_report(), load=core.Load(0, 0, 0)
    )
    submission = observer_builders.build_submission()
    job = observer_builders.build_job(harness, submission)
    _fire(root, _events.job_accepted(submission, job), "gateway")
    harness.ledger.assign(harness.clock.now(), {"hall": 9})
    harness.ledger.handle_report(closed, harness.clock.now())
    answer = core.JobAnswer(job.id, results=(b"1", b"1"))
    _fire(root, _events.job_answered(job, answer), "gateway")
    values = _read_metrics(metrics)
    assert values["cowslipgate_response_seconds_count"] == 1
    assert values["cowslipgate_response_ratio_count"] == 0


def test_sends_of_a_failed_job_count_as_wasted() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    submission = observer_builders.build_submission()
    job = observer_builders.build_job(harness, submission)
    _fire(root, _events.job_accepted(submission, job), "gateway")
    (action,) = harness.ledger.assign(harness.clock.now(), {"hall": 9})
    message = core.Dispatch(7, 1, 1, action.orders)
    _fire(root, transport.send_message(b"agent-1/1", message), INTERNAL)
    answer = core.JobAnswer(job.id, failure=core.Failure.DEADLINE)
    _fire(root, _events.job_answered(job, answer), "gateway")
    sends = metrics.families.sends
    assert sends.get("dispatch", "wasted") == 2
    assert metrics.families.jobs.get("deadline") == 1


def test_a_sampled_job_gives_a_span_for_each_hop() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    stream = io.StringIO()
    exporter = _traces.make_exporter(stream)
    _traces.Traces(harness.dispatcher, exporter, 7, harness.clock).register(
        root
    )
    sampler = _sampler.Sampler(0.0, True)
    submission = observer_builders.build_submission(
        observer_builders.TRACEPARENT
    )
    continued = sampler.continue_trace(observer_builders.TRACEPARENT)
    object.__setattr__(submission, "traceparent", continued)
    job = _run_job(harness, root, submission)
    spans = [json.loads(line) for line in stream.getvalue().splitlines()]
    names = sorted(span["name"] for span in spans)
    assert names == [
        "agent to target",
        "agent to target",
        "answer",
        "entry to agent",
        "entry to agent",
        "queue",
        "queue",
        "receive",
    ]
    caller = core.parse_traceparent(observer_builders.TRACEPARENT)
    traces = {span["context"]["trace_id"] for span in spans}
    assert traces == {f"0x{caller.trace:032x}"}
    by_id = {span["context"]["span_id"]: span for span in spans}
    receive = next(span for span in spans if span["name"] == "receive")
    assert receive["parent_id"] == f"0x{caller.span:016x}"
    assert receive["attributes"]["cowslipgate.job"] == job.id
    target = next(span for span in spans if span["name"] == "agent to target")
    assert by_id[target["parent_id"]]["name"] == "entry to agent"
    passed = core.derive_traceparent(
        continued, target["attributes"]["cowslipgate.task"]
    )
    assert target["context"]["span_id"] == f"0x{passed.split('-')[2]}"


@pytest.mark.parametrize(
    ("ratio", "enabled", "header", "sampled"),
    [
        (1.0, True, "", True),
        (0.0, True, "", False),
        (1.0, False, "", False),
        (0.0, True, observer_builders.TRACEPARENT, True),
        (0.0, False, observer_builders.TRACEPARENT, False),
        (1.0, True, observer_builders.TRACEPARENT[:-2] + "00", False),
        (0.0, True, "nonsense", False),
    ],
)
def test_the_callers_trace_context_overrides_the_ratio(
    ratio: float, enabled: bool, header: str, sampled: bool
) -> None:
    given = _sampler.Sampler(ratio, enabled).continue_trace(header)
    passed_on = given == header
    context = core.parse_traceparent(given)
    assert (context is not None and not passed_on) is sampled


def test_changes_of_state_are_logged_once() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    recorder = _Recorder().register(root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)
    other = core.Member(9, "tcp://127.0.0.1:3", "127.0.0.1:4", "ruwi")
    lost = _requests.StoreResult.UNREACHABLE
    call = _requests.StoreCall(1, "configuration-manager", ("t", "k"))
    down = _events.store_answered(_requests.StoreAnswer(call, lost))
    done = _requests.StoreResult.DONE
    up = _events.store_answered(_requests.StoreAnswer(call, done))
    everywhere = (
        "dispatcher",
        "gateway",
        "configuration-manager",
        "peers",
        "leases",
    )
    configuration = core.parse_configuration(3, {})
    for event in (
        _events.configuration_adopted(configuration),
        _events.members_changed((observer_builders.MEMBER, other)),
        _events.members_changed((observer_builders.MEMBER,)),
        down,
        down,
        up,
        _events.drain(),
    ):
        _fire(root, event, *everywhere)
    for state in ("serving", "serving", "quarantined"):
        report = observer_builders.build_report(state)
        received = transport.message_received(b"agent-1/1", report)
        _fire(root, received, INTERNAL)
    harness.ledger.agents.clear()
    for _ in range(_state_change_log.AGENT_CHECK_TICKS):
        _fire(root, _events.tick(), "state-change-log")
    kinds = [type(change).__name__ for change in recorder.changes]
    assert kinds == [
        "ConfigurationAdopted",
        "MemberJoined",
        "MemberLapsed",
        "StoreUnreachable",
        "StoreReachable",
        "DrainBegan",
        "AgentSeen",
        "AgentStateChanged",
        "AgentLost",
    ]


class _Failing(circuits.BaseComponent):
    """Raises an exception on each tick."""

    channel = "failing"

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        raise ValueError("broken")


def test_a_failing_handler_is_counted_each_time_and_logged_once() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    recorder = _Recorder().register(root)
    _Failing().register(root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    for _ in range(3):
        _fire(root, _events.tick(), "failing")
    assert metrics.families.errors.get("ValueError") == 3
    (change,) = recorder.changes
    assert change.error == "ValueError"
    assert "_on_tick" in change.handler


# Guards against messages that are passed over without a trace.
def test_invalid_messages_are_logged_once_for_each_kind() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    recorder = _Recorder().register(root)
    _state_change_log.StateChangeLog(
        harness.dispatcher, observer_builders.MEMBER
    ).register(root)
    for number in range(300):
        error = core.WireError(b"Report", f"problem {number % 150}")
        _fire(root, transport.message_malformed(b"\xff", error), INTERNAL)
    logged = [
        change
        for change in recorder.changes
        if isinstance(change, transport.MessagePassedOver)
    ]
    assert len(logged) == len(set(logged)) == 100


def test_messages_under_a_wrong_identity_are_dropped_and_counted() -> None:
    harness = observer_builders.build_harness()
    root = circuits.BaseComponent()
    recorder = _Recorder().register(root)
    _sender_check.SenderCheck().register(root)
    metrics = _metrics.Metrics(harness.dispatcher, _Server(), harness.clock)
    metrics.register(root)
    report = observer_builders.build_report()
    for identity in (b"agent-2/1", b"agent-1/1", b"\xff"):
        received = transport.message_received(identity, report)
        _fire(root, received, INTERNAL)
    assert recorder.messages == [report]
    assert metrics.families.malformed.get("refused") == 2


@pytest.mark.parametrize(
    ("form", "level", "lines"),
    [("json", "info", 2), ("json", "warning", 1), ("console", "info", 2)],
)
def test_log_lines_have_the_fields_of_the_change(
    form: str, level: str, lines: int
) -> None:
    stream = io.StringIO()
    logs = transport.Logs(form, level, {"entry": 7}, stream)
    logs.write(_changes.AgentLost("agent-1", 3))
    logs.write(_changes.ConfigurationAdopted(12))
    written = stream.getvalue().splitlines()
    assert len(written) == lines
    assert "agent-1" in written[0]
    if form == "json":
        decoded = json.loads(written[0])
        assert decoded["event"] == "AgentLost"
        assert decoded["level"] == "warning"
        assert decoded["entry"] == 7
