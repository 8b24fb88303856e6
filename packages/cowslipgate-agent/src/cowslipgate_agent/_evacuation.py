"""Refusal of orders while the agent's failure domain is evacuated."""

import circuits

from cowslipgate_agent import _changes
from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "evacuation"


class Evacuation(circuits.BaseComponent):
    """Holds the newest set of evacuated domains and confirms it to entries.

    Orders are refused from the start until the store was read once, or the
    call failed, or an entry sent a set: what was evacuated before the start
    is not known earlier.

    :param domain: failure domain of the agent
    :param reason: setting that enables evacuations, for the log
    """

    channel = CHANNEL

    def __init__(
        self,
        name: str,
        incarnation: int,
        domain: str,
        executor: core.Executor,
        clock: core.Clock,
        reason: str = "",
    ) -> None:
        super().__init__()
        self._name = name
        self._incarnation = incarnation
        self._domain = domain
        self._executor = executor
        self._clock = clock
        self._reason = reason
        self._evacuations = core.Evacuations()
        self._is_known = False
        self._ever_evacuated = False
        # Socket channel of each entry, and the version sent there last.
        self._told: dict[int, tuple[str, int]] = {}
        self._refused = transport.Counter(
            "cowslipgate_agent_evacuation_refusals_total",
            "Orders that were refused because of an evacuation.",
        )
        executor.evacuate(True, clock.now())

    @property
    def evacuations(self) -> core.Evacuations:
        """The newest set that the agent knows."""
        return self._evacuations

    def render(self) -> bytes:
        """Return the text exposition of the metrics."""
        return transport.render_families((self._refused,))

    def tell(self, entry: int, channel: str) -> None:
        """Send the set to an entry that has not been sent it on its link.

        To be called before each report, so that an entry learns the set
        before it learns of the agent. Nothing is sent before the first
        evacuation.

        :param channel: channel of the link's socket
        """
        told = (channel, self._evacuations.version)
        if self._ever_evacuated and self._told.get(entry) != told:
            self._told[entry] = told
            self.fire(transport.send_message(b"", self._make_held()), channel)

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        change = transport.FeatureEnabled("evacuation", self._reason)
        self.fire(transport.changed(change), "logs")

    # Before the runner, which handles orders that follow on the same link.
    @circuits.handler("entry_message_received", channel="runner", priority=5)
    def _on_entry_message_received(self, message: object) -> None:
        if not isinstance(message, core.EvacuationNotice):
            return
        domains = frozenset(message.domains)
        self._adopt(core.Evacuations(message.version, domains), "entry")
        event = _events.send_to_entry(message.entry, self._make_held())
        self.fire(event, "links")

    @circuits.handler("evacuations_read")
    def _on_evacuations_read(
        self, evacuations: core.Evacuations | None
    ) -> None:
        self._adopt(evacuations or core.Evacuations(), "store")

    @circuits.handler("peer_disconnected", channel="*")
    def _on_peer_disconnected(self, peer: bytes) -> None:
        # What was sent last may be lost.
        self._told.pop(int(peer), None)

    @circuits.handler("entry_dropped", channel="runner")
    def _on_entry_dropped(self, incarnation: int) -> None:
        self._told.pop(incarnation, None)

    @circuits.handler("report_attempts", channel="links")
    def _on_report_attempts(self, action: core.SendReports) -> None:
        if not self._executor.evacuated:
            return
        refused = [
            report
            for report in action.reports
            if report.outcome is core.Outcome.NOT_STARTED
            and report.reason is core.Reason.NOT_SERVING
        ]
        self._refused.add(amount=len(refused))

    def _adopt(self, evacuations: core.Evacuations, source: str) -> None:
        known = self._evacuations
        changed = False
        if evacuations.is_newer_than(known):
            self._evacuations = evacuations
            self._ever_evacuated |= bool(evacuations.domains)
            changed = evacuations.domains != known.domains
        if changed or not self._is_known:
            self._is_known = True
            self._apply()
        if changed:
            change = _changes.EvacuationChanged(
                tuple(sorted(evacuations.domains)),
                evacuations.version,
                source,
                self._executor.evacuated,
            )
            self.fire(transport.changed(change), "logs")

    def _apply(self) -> None:
        evacuated = self._domain in self._evacuations.domains
        actions = self._executor.evacuate(evacuated, self._clock.now())
        self.fire(_events.perform_actions(actions), "runner")
        # Entries learn the slots, and the set before them.
        self.fire(_events.send_reports(), "links")

    def _make_held(self) -> core.EvacuationHeld:
        return core.EvacuationHeld(
            self._name,
            self._incarnation,
            self._evacuations.version,
            tuple(sorted(self._evacuations.domains)),
        )
