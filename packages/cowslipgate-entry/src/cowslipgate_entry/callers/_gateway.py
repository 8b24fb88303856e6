"""HTTP interface for callers and operators."""

import hmac
import itertools
import re

import attrs
import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _answers
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _sampler
import cowslipgate_transport as transport

CHANNEL = "gateway"
_PATHS = frozenset(
    (
        "/v1/health",
        "/v1/members",
        "/v1/configuration",
        "/v1/status",
        "/metrics",
    )
)
_JOBS_PATH = re.compile(r"/v1/services/([^/]+)/jobs")
_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)")
_LABEL_PATH = re.compile(r"/v1/services/([^/]+)/cancellations")
_VERSION = re.compile(r"[0-9]{1,15}")
_BEARER = "bearer "


@attrs.frozen
class Access:
    """Credentials from the settings."""

    operator_digest: str = ""
    """Digest of a token that always has operator access, or empty."""

    cluster_token: str = ""
    """Token that reads the list of members; empty allows any client."""


class Gateway(circuits.BaseComponent):
    """Component that authenticates, decodes and routes HTTP requests."""

    channel = CHANNEL

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        member: core.Member,
        metrics: _metrics.Metrics,
        sampler: _sampler.Sampler,
        access: Access,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._member = member
        self._metrics = metrics
        self._sampler = sampler
        self._access = access
        digest = access.operator_digest
        digests = (digest,) if digest else ()
        self._bootstrap = {"bootstrap": core.Operator(digests)}
        self._configuration: core.Configuration | None = None
        self._members: tuple[core.Member, ...] = (member,)
        self._numbers = itertools.count(1)
        self._cancellations: dict[int, transport.Exchange] = {}

    @circuits.handler("configuration_adopted")
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        self._configuration = configuration

    @circuits.handler("members_changed")
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        self._members = members

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        answer = self._route(exchange)
        if answer is not None:
            self.fire(transport.answer_http(exchange, answer))

    @circuits.handler("cancellation_answered")
    def _on_cancellation_answered(
        self,
        cancellation: _requests.Cancellation,
        count: int,
        unresponsive: tuple[int, ...],
    ) -> None:
        exchange = self._cancellations.pop(cancellation.number, None)
        if exchange is None:
            return
        answer = _answers.answer_cancellation(
            cancellation, count, unresponsive
        )
        self.fire(transport.answer_http(exchange, answer))

    @circuits.handler("patch_resolved")
    def _on_patch_resolved(
        self, patch: _requests.Patch, outcome: _requests.PatchOutcome
    ) -> None:
        reply = _answers.answer_patch(outcome)
        self.fire(transport.answer_http(patch.exchange, reply))

    def _route(self, exchange: transport.Exchange) -> transport.Answer | None:
        match exchange.method, exchange.path:
            case "GET", "/v1/health":
                return self._answer_health()
            case "GET", "/v1/members":
                return self._answer_members(exchange)
            case "GET", "/metrics":
                return transport.Answer(
                    200,
                    self._metrics.render(),
                    content_type=transport.METRICS_CONTENT_TYPE,
                )
            case "GET", "/v1/configuration":
                return self._answer_configuration(exchange)
            case "PATCH", "/v1/configuration":
                return self._submit_patch(exchange)
            case "GET", "/v1/status":
                return self._answer_status(exchange)
        if exchange.path in _PATHS:
            return _refuse_method()
        return self._route_caller(exchange)

    def _route_caller(
        self, exchange: transport.Exchange
    ) -> transport.Answer | None:
        jobs = _JOBS_PATH.fullmatch(exchange.path)
        label = _LABEL_PATH.fullmatch(exchange.path)
        job = _JOB_PATH.fullmatch(exchange.path)
        match = jobs or label or job
        if match is None:
            return _answers.answer_error(404, "not_found", "no such path")
        if self._configuration is None:
            return _answers.answer_failure(
                core.Failure.NO_CONFIGURATION,
                "no configuration has been read yet; try again",
            )
        team = self._find_team(exchange)
        if not team:
            return _answers.answer_failure(
                core.Failure.UNAUTHORIZED,
                "send Authorization: Bearer with the token of a team",
            )
        if jobs is not None and exchange.method == "POST":
            return self._submit_job(exchange, team, jobs[1])
        if label is not None and exchange.method == "POST":
            return self._cancel_label(exchange, team, label[1])
        if job is not None and exchange.method == "DELETE":
            cancellation = _requests.Cancellation(
                next(self._numbers), team, job=job[1]
            )
            return self._broadcast_cancellation(exchange, cancellation)
        return _refuse_method()

    def _submit_job(
        self, exchange: transport.Exchange, team: str, service: str
    ) -> transport.Answer | None:
        try:
            request = core.parse_job(exchange.body)
        except core.BodyError as error:
            return _answers.answer_failure(
                core.Failure.MALFORMED, error.problem, path=error.path
            )
        key = exchange.headers.get("idempotency-key", "")
        if not request.repeatable and not key:
            return _answers.answer_failure(
                core.Failure.MALFORMED,
                'repeatable is false: send the header "Idempotency-Key"',
            )
        submission = _requests.Submission(
            exchange,
            team,
            service,
            request,
            key,
            self._sampler.continue_trace(
                exchange.headers.get("traceparent", "")
            ),
            caller_seen_at=exchange.seen_at,
        )
        self.fire(_events.submit_job(submission), "dispatcher")
        return None

    def _cancel_label(
        self, exchange: transport.Exchange, team: str, service: str
    ) -> transport.Answer | None:
        try:
            body = core.parse_body(exchange.body, dict[str, str])
        except core.BodyError as error:
            return _answer_malformed(error)
        label = body.pop("label", "")
        if body:
            error = core.BodyError(f"$.{min(body)}", "is not label")
            return _answer_malformed(error)
        if not label:
            return _answer_malformed(
                core.BodyError("$.label", "must be a text")
            )
        cancellation = _requests.Cancellation(
            next(self._numbers), team, service=service, label=label
        )
        return self._broadcast_cancellation(exchange, cancellation)

    def _broadcast_cancellation(
        self,
        exchange: transport.Exchange,
        cancellation: _requests.Cancellation,
    ) -> None:
        self._cancellations[cancellation.number] = exchange
        self.fire(
            _events.broadcast_cancellation(cancellation), "cancellations"
        )

    def _submit_patch(
        self, exchange: transport.Exchange
    ) -> transport.Answer | None:
        if not self._is_operator(exchange):
            return _refuse_operator()
        expected = exchange.headers.get("if-match", "").strip('"')
        key = exchange.headers.get("idempotency-key", "")
        if not _VERSION.fullmatch(expected) or not key:
            return _answers.answer_error(
                428,
                "precondition_required",
                'send If-Match: "<version>" and an Idempotency-Key',
            )
        try:
            changes = core.parse_body(exchange.body, object)
        except core.BodyError as error:
            return _answer_malformed(error)
        patch = _requests.Patch(
            exchange, int(expected), core.digest_token(key), changes
        )
        self.fire(_events.patch_configuration(patch), "patches")
        return None

    def _answer_members(
        self, exchange: transport.Exchange
    ) -> transport.Answer:
        expected = self._access.cluster_token
        given = _get_token(exchange)
        if expected and not hmac.compare_digest(
            expected.encode(), given.encode()
        ):
            return _answers.answer_error(
                401, "unauthorized", "send the cluster token"
            )
        return transport.Answer(200, msgspec.json.encode(self._members))

    def _answer_health(self) -> transport.Answer:
        state = self._dispatcher.state
        status = 200 if state == "serving" else 503
        return transport.Answer(status, msgspec.json.encode({"state": state}))

    def _answer_configuration(
        self, exchange: transport.Exchange
    ) -> transport.Answer:
        if not self._is_operator(exchange):
            return _refuse_operator()
        configuration = self._configuration
        if configuration is None:
            return _answers.answer_error(
                503, "no_configuration", "try again later"
            )
        headers = {"ETag": f'"{configuration.version}"'}
        return transport.Answer(200, configuration.encode(), headers)

    def _answer_status(self, exchange: transport.Exchange) -> transport.Answer:
        if not self._is_operator(exchange):
            return _refuse_operator()
        ledger = self._dispatcher.ledger
        configuration = self._configuration
        body = {
            "entry": str(self._member.incarnation),
            "state": self._dispatcher.state,
            "configuration_version": (
                configuration.version if configuration is not None else None
            ),
            "members": self._members,
            "jobs": len(ledger.jobs),
            "counters": ledger.counters,
            "agents": [record.report for record in ledger.agents.values()],
            "agents_behind": self._list_outdated_agents(),
            "traffic": transport.measure_traffic(self),
        }
        return transport.Answer(200, msgspec.json.encode(body))

    def _list_outdated_agents(self) -> list[str]:
        configuration = self._configuration
        version = configuration.version if configuration is not None else 0
        agents = self._dispatcher.ledger.agents
        return sorted(
            name
            for name, record in agents.items()
            if record.report.configuration_version < version
        )

    def _find_team(self, exchange: transport.Exchange) -> str:
        return core.find_holder(
            self._configuration.document.teams, _get_token(exchange)
        )

    def _is_operator(self, exchange: transport.Exchange) -> bool:
        token = _get_token(exchange)
        if core.find_holder(self._bootstrap, token):
            return True
        if self._configuration is None:
            return False
        operators = self._configuration.document.operators
        return bool(core.find_holder(operators, token))


def _get_token(exchange: transport.Exchange) -> str:
    header = exchange.headers.get("authorization", "")
    if not header.lower().startswith(_BEARER):
        return ""
    return header[len(_BEARER) :]


def _refuse_operator() -> transport.Answer:
    return _answers.answer_error(
        401,
        "unauthorized",
        "send Authorization: Bearer with the token of an operator",
    )


def _refuse_method() -> transport.Answer:
    return _answers.answer_error(405, "method_not_allowed", "see docs/API.md")


def _answer_malformed(error: core.BodyError) -> transport.Answer:
    return _answers.answer_error(400, "malformed", error.problem, error.path)
