"""Component that logs changes of state seen in other components' events."""

import itertools

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport

CHANNEL = "state-change-log"
AGENT_CHECK_TICKS = 10
# Kinds of handler failures that are logged, which bounds the set of them.
MAX_LOGGED_FAILURES = 100
_FAILED_STORE_RESULTS = (
    _requests.StoreResult.UNREACHABLE,
    _requests.StoreResult.LOST,
)

_FAILED_TABLE_RESULTS = (
    core.TableResult.REFUSED,
    core.TableResult.MALFORMED,
    core.TableResult.UNREACHABLE,
)


class StateChangeLog(circuits.BaseComponent):
    """Fires ``changed`` once for each change of state."""

    channel = CHANNEL

    def __init__(
        self, dispatcher: _dispatcher.Dispatcher, member: core.Member
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._state = dispatcher.state
        self._members: dict[int, core.Member] = {member.incarnation: member}
        self._agents: dict[str, core.Report] = {}
        self._departing: set[str] = set()
        self._models: tuple[str, ...] = ()
        self._models_enabled = False
        self._pairs: dict[tuple[str, str], core.InterferingPair] = {}
        self._store_reachable = True
        self._preempting: set[str] = set()
        self._logged_failures: set[tuple[str, str]] = set()
        self._passed_over = transport.MessagesPassedOver(self)
        self._features: set[transport.FeatureEnabled] = set()
        self._ticks = itertools.count(1)

    @circuits.handler("configuration_adopted", channel=_events.GATEWAY)
    def _on_configuration_adopted(
        self, configuration: core.Configuration
    ) -> None:
        change = _changes.ConfigurationAdopted(configuration.version)
        self._log_change(change)
        self._log_preemption(configuration.document)
        enabled = _find_features(configuration.document)
        for feature in sorted(enabled - self._features, key=str):
            self._log_change(feature)
        self._features = enabled

    @circuits.handler("members_changed", channel=_events.GATEWAY)
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        current = {member.incarnation: member for member in members}
        for incarnation, member in current.items():
            if incarnation not in self._members:
                change = _changes.MemberJoined(
                    incarnation, member.http, member.domain
                )
                self._log_change(change)
        for incarnation, member in self._members.items():
            if incarnation not in current:
                self._log_change(
                    _changes.MemberLapsed(incarnation, member.http)
                )
        self._members = current

    @circuits.handler("message_received", channel=_dispatcher.AGENTS_CHANNEL)
    def _on_message_received(self, identity: bytes, message: object) -> None:
        if isinstance(message, core.Goodbye):
            if message.agent in self._agents:
                self._departing.add(message.agent)
            return
        if not isinstance(message, core.Report):
            return
        self._departing.discard(message.agent)
        known = self._agents.get(message.agent)
        if known is None or known.incarnation < message.incarnation:
            change = _changes.AgentSeen(
                message.agent,
                message.incarnation,
                message.service,
                message.domain,
            )
            self._log_change(change)
        elif known.incarnation > message.incarnation:
            return
        elif known.state != message.state:
            change = _changes.AgentStateChanged(
                message.agent, known.state, message.state
            )
            self._log_change(change)
        self._agents[message.agent] = message

    @circuits.handler("store_answered", channel="*")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        detail = (
            "" if answer.result not in _FAILED_STORE_RESULTS else answer.result
        )
        self._record_store_state(detail)

    @circuits.handler("table_answered", channel="*")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        failed = answer.result in _FAILED_TABLE_RESULTS
        self._record_store_state(answer.detail if failed else "")

    @circuits.handler("configuration_rejected")
    def _on_configuration_rejected(self, error: Exception) -> None:
        self._log_change(_changes.ConfigurationRejected(str(error)))

    @circuits.handler("configuration_requested")
    def _on_configuration_requested(
        self, version: int, identity: bytes
    ) -> None:
        agent = identity.decode().rpartition("/")[0]
        self._log_change(_changes.ConfigurationAsked(version, agent))

    def _log_preemption(self, document: core.Document) -> None:
        services = {
            name
            for name, service in document.services.items()
            if service.preemption
        }
        added = ", ".join(sorted(services - self._preempting))
        self._preempting = services
        if added:
            reason = f"configured for the services {added}"
            change = transport.FeatureEnabled("preemption", reason)
            self._log_change(change)

    def _record_store_state(self, problem: str) -> None:
        reachable = not problem
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        if reachable:
            self._log_change(_changes.StoreReachable())
        else:
            self._log_change(_changes.StoreUnreachable(problem))

    @circuits.handler("drain", channel=_dispatcher.CHANNEL)
    def _on_drain(self) -> None:
        jobs = len(self._dispatcher.ledger.jobs)
        self._log_change(_changes.DrainBegan(jobs))

    @circuits.handler("exception", channel="*", priority=20)
    def _on_exception(
        self,
        kind: type,
        error: BaseException,
        traceback: list[str],
        handler: object = None,
        fevent: object = None,
    ) -> None:
        name = getattr(handler, "__qualname__", "")
        key = (kind.__name__, name)
        if (
            key in self._logged_failures
            or len(self._logged_failures) >= MAX_LOGGED_FAILURES
        ):
            return
        self._logged_failures.add(key)
        change = _changes.HandlerFailed(
            kind.__name__, name, str(error), "".join(traceback)
        )
        self._log_change(change)

    @circuits.handler("message_malformed", "message_refused", channel="*")
    def _on_message_malformed(
        self, identity: bytes, error: core.WireError
    ) -> None:
        self._passed_over.log_malformed(error)

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        state = self._dispatcher.state
        if state != self._state:
            self._log_change(_changes.EntryStateChanged(self._state, state))
            self._state = state
        if next(self._ticks) % AGENT_CHECK_TICKS == 0:
            self._log_missing_agents()
            self._log_models()
            self._log_interference()

    def _log_models(self) -> None:
        models = self._dispatcher.ledger.estimates.models
        names = tuple(model.name for model in models)
        if names == self._models:
            return
        if not self._models_enabled:
            self._models_enabled = True
            reason = "targets of several failure domains share labels"
            self._log_change(transport.FeatureEnabled("model-speeds", reason))
        self._models = names
        targets = sum(model.targets for model in models)
        self._log_change(_changes.ModelsChanged(names, targets))

    def _log_interference(self) -> None:
        pairs = dict(self._dispatcher.ledger.interference.pairs)
        for name, pair in pairs.items():
            if name not in self._pairs:
                self._log_pair(_changes.InterferenceFound, pair)
        for name, pair in self._pairs.items():
            if name not in pairs:
                self._log_pair(_changes.InterferenceGone, pair)
        self._pairs = pairs

    def _log_pair(
        self,
        make: type[_changes.InterferenceFound | _changes.InterferenceGone],
        pair: core.InterferingPair,
    ) -> None:
        change = make(
            pair.kind, pair.beside, round(pair.slowdown, 3), round(pair.runs)
        )
        self._log_change(change)

    def _log_missing_agents(self) -> None:
        for name in self._agents.keys() - self._dispatcher.ledger.agents:
            missing = self._agents.pop(name)
            change = _changes.AgentLost(name, missing.incarnation)
            if name in self._departing:
                self._departing.remove(name)
                change = _changes.AgentLeft(name, missing.incarnation)
            self._log_change(change)

    def _log_change(self, change: _changes.Change) -> None:
        self.fire(transport.changed(change), "logs")


def _find_features(
    document: core.Document,
) -> set[transport.FeatureEnabled]:
    """Return the features that a configuration enables."""
    features = {
        transport.FeatureEnabled(
            "admission by forecast", f"$.services.{name}.admission"
        )
        for name, service in document.services.items()
        if service.admission is core.Admission.FORECAST
    }
    features |= {
        transport.FeatureEnabled("shares", f"$.routes.{name}.share")
        for name, route in document.routes.items()
        if route.share
    }
    features |= {
        transport.FeatureEnabled(
            "separate-kinds", f"$.services.{name}.separate_kinds"
        )
        for name, service in document.services.items()
        if service.separate_kinds
    }
    return features
