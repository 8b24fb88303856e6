"""Gauge values that are read when the metrics are rendered."""

import collections

import cowslipgate_core as core
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.observation import _minutes
import cowslipgate_transport as transport

OTHER = "other"
Values = dict[tuple[str, ...], float]


class Readings:
    """Reads gauge values, by label values, from other components."""

    def __init__(
        self,
        dispatcher: _dispatcher.Dispatcher,
        server: transport.HttpServer,
        minutes: _minutes.Minutes,
    ) -> None:
        self._dispatcher = dispatcher
        self._server = server
        self._minutes = minutes
        self._states = frozenset(core.load_chart("target").states)
        self.version = 0
        self.priorities: frozenset[int] = frozenset()

    def count_agents(self) -> Values:
        """Return the number of known agents by state of their target."""
        states: collections.Counter = collections.Counter()
        for record in self._dispatcher.ledger.agents.values():
            state = record.report.state
            states[(state if state in self._states else OTHER,)] += 1
        return dict(states)

    def count_jobs(self) -> Values:
        """Return the number of jobs in flight."""
        return {(): len(self._dispatcher.ledger.jobs)}

    def count_tasks(self) -> Values:
        """Return the number of tasks of jobs in flight by state."""
        jobs = self._dispatcher.ledger.jobs.values()
        return {
            ("waiting",): sum(len(job.waiting) for job in jobs),
            ("sent",): sum(len(job.active) for job in jobs),
        }

    def list_rates(self) -> Values:
        """Return the rate of starts of each service without room."""
        rates = self._dispatcher.ledger.overload.list_rates()
        return {(service,): rate for service, rate in rates.items()}

    def list_waits(self) -> Values:
        """Return the forecast wait by service and priority, in seconds."""
        overload = self._dispatcher.ledger.overload
        return {
            (service, str(priority)): seconds
            for (service, priority), seconds in overload.list_waits(
                self.priorities
            ).items()
        }

    def get_version(self) -> Values:
        """Return the configuration version in force."""
        return {(): self.version}

    def count_models(self) -> Values:
        """Return the number of models whose targets share a speed."""
        return {(): len(self._dispatcher.ledger.estimates.models)}

    def count_model_targets(self) -> Values:
        """Return the number of targets that have one of these models."""
        models = self._dispatcher.ledger.estimates.models
        return {(): sum(model.targets for model in models)}

    def count_interfering(self) -> Values:
        """Return the number of ordered pairs of routes that interfere."""
        return {(): len(self._dispatcher.ledger.interference.pairs)}

    def count_connections(self) -> Values:
        """Return the number of open caller connections."""
        return {(): self._server.connections}

    def get_last_minute(self) -> Values:
        """Return the slot-seconds of the last whole minute."""
        return self._minutes.last.to_labels()

    def get_busiest_minute(self) -> Values:
        """Return the slot-seconds of the busiest whole minute."""
        return self._minutes.busiest.to_labels()
