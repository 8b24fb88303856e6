"""An entry's agents and the pool of targets of each service."""

from collections.abc import Callable
import datetime

import attrs

from cowslipgate_core.membership import _heartbeats
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _resources
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _staleness
from cowslipgate_core.placement import _targets

NEEDS_WEIGHT = 0.02
"""Weight of one task in the mean needs: an average of about 50 tasks."""

RANKING_INTERVAL = datetime.timedelta(milliseconds=500)
"""Least time between two rankings of a pool."""


@attrs.define(eq=False)
class AgentRecord:
    """An entry's state of one agent."""

    report: _reports.Report
    """Last report received from it."""

    last_received_at: datetime.datetime
    """When a message was last received from it."""

    load: _resources.Load
    """Last load received, in a report or with results."""

    outstanding: set[int] = attrs.Factory(set)
    """Sequence numbers of attempts sent whose end is not known."""

    own_use: _resources.Resources = _resources.Resources()
    """Part of the target's room that these attempts take."""

    busy_since: datetime.datetime | None = None
    """When an attempt was last sent to it while none was outstanding."""

    awaits_load: bool = False
    """Whether it refused a task, or could not be sent one, and has not
    reported its load since."""

    departing: bool = False
    """Whether it sent a goodbye and awaits its release."""

    received_ms: int = 0
    """Highest ``sent_ms`` received from this incarnation of it."""

    cold_until: datetime.datetime | None = None
    """Time until which its target runs tasks slower, or None."""

    confirmable_at: datetime.datetime | None = None
    """When the message with that time of sending was received."""

    def record_sent_ms(self, sent_ms: int, now: datetime.datetime) -> None:
        """Record the time of sending of a message received now."""
        if sent_ms > self.received_ms:
            self.received_ms = sent_ms
            self.confirmable_at = now

    def is_cold(self, now: datetime.datetime) -> bool:
        """Return whether its target runs tasks slower at a time."""
        return self.cold_until is not None and now < self.cold_until


class Roster:
    """Agents by name, and a pool of their targets for each service.

    :param get_speed: returns the speed of an agent's target at a time
    :param queue_allowance: tasks that may queue at a target beyond its slots
    :param suspect_after: time without a message after which an agent is
        suspect and gets no new work
    :param domain: failure domain of the entry; empty if all count as near
    :param cold_excess: factor by which targets that announce that they are
        cold are slower; 1 to ignore what they announce
    """

    def __init__(
        self,
        get_speed: Callable[[str, datetime.datetime], float],
        queue_allowance: int,
        suspect_after: datetime.timedelta,
        domain: str = "",
        cold_excess: float = 1.0,
    ) -> None:
        self._get_speed = get_speed
        self._queue_allowance = queue_allowance
        self._suspect_after = suspect_after
        self._domain = domain
        self._cold_excess = cold_excess
        self._evacuated: frozenset[str] = frozenset()
        self._pools: dict[str, _targets.Pool] = {}
        self._ranked_at: dict[str, datetime.datetime] = {}
        self._loads_updated_at: dict[str, datetime.datetime] = {}
        self._mean_needs: dict[str, _resources.Resources] = {}
        self.agents: dict[str, AgentRecord] = {}

    @property
    def services(self) -> set[str]:
        """Names of the services that have targets."""
        return set(self._pools)

    @property
    def heartbeat(self) -> datetime.timedelta:
        """Interval at which agents should report on idle links."""
        return _heartbeats.choose_heartbeat(len(self.agents))

    def get_suspect_timeout(self, record: AgentRecord) -> datetime.timedelta:
        """Return the time without a message that makes an agent suspect."""
        # Only idle links have long heartbeats.
        if record.outstanding:
            return self._suspect_after
        return _heartbeats.compute_suspect_timeout(
            self._suspect_after, self.heartbeat
        )

    def is_lost(
        self,
        record: AgentRecord,
        limit: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an agent is lost.

        :param limit: time without a message after which a busy agent is lost;
            long heartbeats extend it for an idle one
        """
        if record.outstanding:
            return (
                now - max(record.last_received_at, record.busy_since) > limit
            )
        limit = _heartbeats.compute_lost_timeout(limit, self.heartbeat)
        return now - record.last_received_at > limit

    def evacuate(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose targets are not usable."""
        changed = self._evacuated ^ domains
        self._evacuated = domains
        for record in self.agents.values():
            if record.report.domain in changed:
                self.update(record)

    def get_excess(self, record: AgentRecord, now: datetime.datetime) -> float:
        """Return the factor by which a target is slower as it is cold."""
        return self._cold_excess if record.is_cold(now) else 1.0

    def _get_view_speed(
        self, record: AgentRecord, now: datetime.datetime
    ) -> float:
        speed = self._get_speed(record.report.agent, now)
        return speed / self.get_excess(record, now)

    def add(self, record: AgentRecord) -> None:
        """Add a new agent."""
        _record_cold(record)
        self.agents[record.report.agent] = record
        self.update(record)

    def remove(self, agent: str) -> None:
        """Remove an agent and its target."""
        record = self.agents.pop(agent)
        self._remove_target(agent, record.report.service)

    def replace_report(
        self, record: AgentRecord, report: _reports.Report
    ) -> None:
        """Record a report; the agent may have changed its service."""
        if record.report.service != report.service:
            self._remove_target(report.agent, record.report.service)
        record.report = report
        _record_cold(record)
        record.load = report.load
        record.awaits_load = False
        record.departing = False
        self.update(record)

    def record_needs(self, service: str, needs: _resources.Resources) -> None:
        """Update the mean needs of a service from one task."""
        mean = self._mean_needs.get(service, needs)
        self._mean_needs[service] = _room.add_resources(
            _room.scale_resources(mean, 1.0 - NEEDS_WEIGHT),
            _room.scale_resources(needs, NEEDS_WEIGHT),
        )

    def _remove_target(self, agent: str, service: str) -> None:
        pool = self._pools.get(service)
        if pool is None:
            return
        pool.remove(agent)
        if not len(pool):
            del self._pools[service]
            self._ranked_at.pop(service, None)
            self._loads_updated_at.pop(service, None)

    def update(self, record: AgentRecord) -> None:
        """Copy an agent's state to its view in the pool of its service."""
        report = record.report
        pool = self._pools.get(report.service)
        if pool is None:
            pool = _targets.Pool(queue_allowance=self._queue_allowance)
            self._pools[report.service] = pool
        view = pool.get(report.agent)
        closed = record.departing or report.domain in self._evacuated
        slots = 0 if closed else record.load.slots
        occupied = record.load.others + len(record.outstanding)
        used = _room.add_resources(record.load.others_use, record.own_use)
        if view is None:
            view = _targets.TargetView(
                report.agent,
                report.resources,
                slots,
                occupied,
                self._get_view_speed(record, record.last_received_at),
                self._compute_usable_until(record),
                on_probation=report.state == _targets.PROBATION,
                room=report.room,
                used=used,
                near=self._domain in ("", report.domain),
            )
            pool.add(view)
            return
        view.room = report.room
        view.used = used
        view.resources = report.resources
        view.slots = slots
        view.occupied = occupied
        view.usable_until = self._compute_usable_until(record)
        view.awaits_load = record.awaits_load
        view.on_probation = report.state == _targets.PROBATION
        pool.update(view)

    def _compute_usable_until(self, record: AgentRecord) -> datetime.datetime:
        # An idle agent reports rarely, so the time counts from the dispatch.
        since = max(
            record.last_received_at,
            record.busy_since or record.last_received_at,
        )
        return since + self.get_suspect_timeout(record)

    def find_pool(self, service: str) -> _targets.Pool | None:
        """Return the pool of a service as last ranked, or None."""
        return self._pools.get(service)

    def get_pool(
        self, service: str, now: datetime.datetime
    ) -> _targets.Pool | None:
        """Return the pool of a service, or None if it has no targets.

        Speeds, ranking and the loads of other entries are updated if they
        are older than their intervals.
        """
        pool = self._pools.get(service)
        if pool is None:
            return None
        ranked_at = self._ranked_at.get(service)
        if ranked_at is None or now - ranked_at >= RANKING_INTERVAL:
            self._ranked_at[service] = now
            pool.typical_needs = self._mean_needs.get(
                service, pool.typical_needs
            )
            for view in pool.ranked:
                record = self.agents[view.agent]
                view.speed = self._get_view_speed(record, now)
            pool.rank_targets()
        updated_at = self._loads_updated_at.setdefault(service, now)
        if now - updated_at >= _staleness.choose_update_interval(len(pool)):
            self._loads_updated_at[service] = now
            self._update_others_loads(pool, now)
        return pool

    def _update_others_loads(
        self, pool: _targets.Pool, now: datetime.datetime
    ) -> None:
        for view in pool.ranked:
            record = self.agents[view.agent]
            if not record.load.others:
                continue
            others = _staleness.expect_others(
                record.load.others, now - record.last_received_at, view.speed
            )
            view.occupied = round(others) + len(record.outstanding)
            view.used = _room.add_resources(
                _room.scale_resources(
                    record.load.others_use, others / record.load.others
                ),
                record.own_use,
            )
            pool.update(view)


def _record_cold(record: AgentRecord) -> None:
    left = datetime.timedelta(milliseconds=record.report.cold_left_ms)
    if left:
        record.cold_until = record.last_received_at + left
    elif record.is_cold(record.last_received_at):
        # Runs that were sent before are still recognized as slower.
        record.cold_until = record.last_received_at
