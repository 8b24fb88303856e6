"""Evacuated failure domains: read from the store and told to agents."""

import datetime
import functools

import attrs
import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.store import _configuration_follower
import cowslipgate_transport as transport

CHANNEL = _configuration_follower.ROWS_CHANNEL
MILLISECOND = datetime.timedelta(milliseconds=1)

RESEND_AFTER = datetime.timedelta(milliseconds=500)
"""Time without a confirmation after which a notice is repeated: a heartbeat
of an agent with work."""


@attrs.define(eq=False)
class _ToldAgent:
    """What one incarnation of an agent was told and has confirmed."""

    incarnation: int
    """Incarnation of the agent."""

    link: int = 0
    """Highest link number in its reports."""

    confirmed: core.Evacuations = core.Evacuations()
    """Set that it held last."""

    sent_at: datetime.datetime | None = None
    """When it was last sent a notice, or None."""


class Evacuations(circuits.BaseComponent):
    """Keeps the set that is in force and brings agents to it.

    :param member: this entry
    :param ledger: is told the set before the next dispatch
    :param find_domain: finds the domain that a row's key names
    :param bound: time in which an evacuation has to be in force
    :param reason: setting that enables evacuations, for the log
    """

    channel = CHANNEL

    def __init__(
        self,
        member: core.Member,
        ledger: core.Ledger,
        find_domain: core.FindDomain,
        bound: datetime.timedelta,
        clock: core.Clock,
        reason: str = "",
    ) -> None:
        super().__init__()
        self._member = member
        self._ledger = ledger
        self._stored = core.StoredEvacuations(find_domain)
        self._bound = bound
        self._clock = clock
        self._reason = reason
        self._evacuations = core.Evacuations()
        self._ever_evacuated = False
        self._changed_at = clock.now()
        self._awaits_confirmations = False
        self._agents: dict[str, _ToldAgent] = {}
        self._member_domains = {member.domain}
        # Domains whose check is due, with the time of it.
        self._unchecked: dict[str, datetime.datetime] = {}
        self._evacuated_gauge = transport.Gauge(
            "cowslipgate_evacuated_domains",
            "Failure domains that are evacuated.",
            lambda: {(): len(self._evacuations.domains)},
        )
        self._unconfirmed_gauge = transport.Gauge(
            "cowslipgate_evacuation_unconfirmed_agents",
            "Known agents that have not confirmed the evacuated domains.",
            lambda: {(): len(self.list_unconfirmed())},
        )

    @property
    def evacuations(self) -> core.Evacuations:
        """The set that is in force at this entry."""
        return self._evacuations

    @property
    def remembered(self) -> int:
        """Number of agents that are remembered."""
        return len(self._agents)

    def render(self) -> bytes:
        """Return the text exposition of the metrics."""
        return transport.render_families(
            (self._evacuated_gauge, self._unconfirmed_gauge)
        )

    def list_unconfirmed(self) -> list[str]:
        """Return the known agents that hold another set, in no order."""
        if not self._ever_evacuated:
            return []
        return [
            name
            for name in self._ledger.agents
            if not self._has_confirmed(name)
        ]

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        change = transport.FeatureEnabled("evacuation", self._reason)
        self._log(change)

    @circuits.handler("operator_rows_read")
    def _on_operator_rows_read(self, answer: core.TableAnswer) -> None:
        for fault in self._stored.record(answer):
            change = _changes.EvacuationIgnored(
                fault.key, fault.version, fault.problem
            )
            self._log(change)
        self._adopt(self._stored.evacuations, "store")

    @circuits.handler("members_changed", channel=_events.GATEWAY)
    def _on_members_changed(self, members: tuple[core.Member, ...]) -> None:
        own = {self._member.domain}
        self._member_domains = own | {member.domain for member in members}

    # Before the dispatcher, which may send orders on a new link, and before
    # the relay, which sends the configuration.
    @circuits.handler(
        "message_received", channel=_dispatcher.AGENTS_CHANNEL, priority=5
    )
    def _on_message_received(self, identity: bytes, message: object) -> None:
        _handle_message(message, self)

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        for name in self._agents.keys() - self._ledger.agents:
            del self._agents[name]
        if not self._ever_evacuated:
            return
        now = self._clock.now()
        for name in self.list_unconfirmed():
            told = self._get_told(name)
            if told.sent_at is None or now - told.sent_at >= RESEND_AFTER:
                self._send_notice(name, told)
        self._check_confirmations(now)
        self._check_domains(now)

    def handle_report(self, report: core.Report) -> None:
        """Tell an agent the set on a new link, or if it has an older one."""
        told = self._find_told(report.agent, report.incarnation)
        if told is None:
            return
        is_new_link = report.link > told.link
        told.link = max(told.link, report.link)
        if not self._ever_evacuated:
            return
        if is_new_link or self._evacuations.is_newer_than(told.confirmed):
            self._send_notice(report.agent, told)

    def handle_held(self, held: core.EvacuationHeld) -> None:
        """Record what an agent holds; adopt a newer set, answer an older."""
        told = self._find_told(held.agent, held.incarnation)
        if told is None:
            return
        domains = frozenset(held.domains)
        told.confirmed = core.Evacuations(held.version, domains)
        self._ever_evacuated |= bool(domains)
        if self._evacuations.is_newer_than(told.confirmed):
            if domains != self._evacuations.domains:
                self._send_notice(held.agent, told)
        else:
            self._adopt(told.confirmed, "agent")
        self._check_confirmations(self._clock.now())

    def precede_relay(self, request: core.RelayRequest) -> None:
        """Tell an agent the set before it gets a configuration to forward.

        The agent forwards the set to the other entry first.
        """
        told = self._find_told(request.agent, request.incarnation)
        if told is not None and self._ever_evacuated:
            self._send_notice(request.agent, told)

    def _adopt(self, evacuations: core.Evacuations, source: str) -> None:
        known = self._evacuations
        if not evacuations.is_newer_than(known):
            return
        self._evacuations = evacuations
        if evacuations.domains == known.domains:
            # Agents are told the version with their next reports.
            return
        now = self._clock.now()
        self._ever_evacuated = True
        self._changed_at = now
        self._awaits_confirmations = True
        self._ledger.evacuate(evacuations.domains)
        self._unchecked = {
            domain: self._unchecked.get(domain, now + self._bound)
            for domain in evacuations.domains
            if domain in self._unchecked or domain not in known.domains
        }
        change = _changes.EvacuationChanged(
            tuple(sorted(evacuations.domains)), evacuations.version, source
        )
        self._log(change)
        for name in self.list_unconfirmed():
            self._send_notice(name, self._get_told(name))

    def _find_told(self, agent: str, incarnation: int) -> _ToldAgent | None:
        """Return the state of an agent, or None for an earlier incarnation."""
        told = self._agents.get(agent)
        if told is None or told.incarnation < incarnation:
            told = self._agents[agent] = _ToldAgent(incarnation)
        return told if told.incarnation == incarnation else None

    def _get_told(self, agent: str) -> _ToldAgent:
        report = self._ledger.agents[agent].report
        found = self._find_told(agent, report.incarnation)
        return found or self._agents[agent]

    def _has_confirmed(self, agent: str) -> bool:
        held = self._get_told(agent).confirmed
        return held.domains == self._evacuations.domains and held.version > 0

    def _send_notice(self, agent: str, told: _ToldAgent) -> None:
        told.sent_at = self._clock.now()
        notice = core.EvacuationNotice(
            self._member.incarnation,
            self._evacuations.version,
            tuple(sorted(self._evacuations.domains)),
        )
        identity = core.encode_identity(agent, told.incarnation)
        event = transport.send_message(identity, notice)
        self.fire(event, _dispatcher.AGENTS_CHANNEL)

    def _check_confirmations(self, now: datetime.datetime) -> None:
        if not self._awaits_confirmations or self.list_unconfirmed():
            return
        self._awaits_confirmations = False
        change = _changes.EvacuationConfirmed(
            tuple(sorted(self._evacuations.domains)),
            self._evacuations.version,
            len(self._ledger.agents),
            (now - self._changed_at) // MILLISECOND,
        )
        self._log(change)

    def _check_domains(self, now: datetime.datetime) -> None:
        due = [name for name, at in self._unchecked.items() if now >= at]
        if not due:
            return
        known = self._member_domains | {
            record.report.domain for record in self._ledger.agents.values()
        }
        for domain in due:
            del self._unchecked[domain]
            if domain not in known:
                self._log(_changes.EvacuationOfUnknownDomain(domain))

    def _log(self, change: transport.Change) -> None:
        self.fire(transport.changed(change), "logs")


class IgnoredEvacuations(circuits.BaseComponent):
    """Logs requests for evacuations while these are not enabled.

    :param find_domain: finds the domain that a row's key names
    :param reason: setting that would enable evacuations, for the log
    """

    channel = CHANNEL

    def __init__(self, find_domain: core.FindDomain, reason: str) -> None:
        super().__init__()
        self._find_domain = find_domain
        self._reason = reason

    @circuits.handler("operator_rows_read")
    def _on_operator_rows_read(self, answer: core.TableAnswer) -> None:
        for row in answer.rows:
            if row.removed or self._find_domain(row.key) is None:
                continue
            problem = f"{self._reason} is not set"
            change = _changes.EvacuationIgnored(row.key, row.version, problem)
            self.fire(transport.changed(change), "logs")


@functools.singledispatch
def _handle_message(message: object, evacuations: Evacuations) -> None:
    """Handle a message of an agent by its type; ignore other types."""


@_handle_message.register
def _handle_report(message: core.Report, evacuations: Evacuations) -> None:
    evacuations.handle_report(message)


@_handle_message.register
def _handle_held(
    message: core.EvacuationHeld, evacuations: Evacuations
) -> None:
    evacuations.handle_held(message)


@_handle_message.register
def _handle_relay_request(
    message: core.RelayRequest, evacuations: Evacuations
) -> None:
    evacuations.precede_relay(message)
