"""The agents that an entry knows, and the pools that they form."""

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
"""Weight of one task in the mean needs; about the last fifty tasks count."""

RANKING_INTERVAL = datetime.timedelta(milliseconds=500)


@attrs.define(eq=False)
class AgentRecord:
    """What the entry knows of one agent."""

    report: _reports.Report
    """Its last report."""

    heard_at: datetime.datetime
    """When it was last heard."""

    load: _resources.Load
    """Its last load."""

    outstanding: set[int] = attrs.Factory(set)
    """Sequence numbers of attempts sent and not final."""

    own_use: _resources.Resources = _resources.Resources()
    """What these attempts take of the target's room."""

    busy_since: datetime.datetime | None = None
    """When an attempt was last sent to it while it had none."""

    held: bool = False
    """Whether it refused a task and has not told its load since."""

    departing: bool = False
    """Whether it said goodbye and waits to be released."""


class Roster:
    """Agents by name, kept in step with a pool for each service.

    :param get_speed: returns the present speed of an agent's target
    :param margin: tasks that may queue at a target beyond its slots
    :param suspect_after: silence after which an agent gets no new work
    """

    def __init__(
        self,
        get_speed: Callable[[str, datetime.datetime], float],
        margin: int,
        suspect_after: datetime.timedelta,
    ) -> None:
        self._get_speed = get_speed
        self._margin = margin
        self._suspect_after = suspect_after
        self._pools: dict[str, _targets.Pool] = {}
        self._ranked_at: dict[str, datetime.datetime] = {}
        self._aged_at: dict[str, datetime.datetime] = {}
        self._typical: dict[str, _resources.Resources] = {}
        self.agents: dict[str, AgentRecord] = {}

    @property
    def services(self) -> set[str]:
        """Services that have targets."""
        return set(self._pools)

    @property
    def heartbeat(self) -> datetime.timedelta:
        """Interval of reports that agents should use on idle links."""
        return _heartbeats.choose_heartbeat(len(self.agents))

    def get_suspicion(self, record: AgentRecord) -> datetime.timedelta:
        """Return the silence after which an agent gets no new work."""
        # Only idle links have long heartbeats.
        if record.outstanding:
            return self._suspect_after
        return _heartbeats.stretch_suspicion(
            self._suspect_after, self.heartbeat
        )

    def is_lost(
        self,
        record: AgentRecord,
        limit: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Tell whether an agent was silent too long."""
        if record.outstanding:
            return now - max(record.heard_at, record.busy_since) > limit
        limit = _heartbeats.stretch_loss(limit, self.heartbeat)
        return now - record.heard_at > limit

    def add(self, record: AgentRecord) -> None:
        """Take in an agent that was not known."""
        self.agents[record.report.agent] = record
        self.update(record)

    def remove(self, agent: str) -> None:
        """Forget an agent."""
        record = self.agents.pop(agent)
        self._remove_target(agent, record.report.service)

    def replace_report(
        self, record: AgentRecord, report: _reports.Report
    ) -> None:
        """Take in a report; the agent may have changed its service."""
        if record.report.service != report.service:
            self._remove_target(report.agent, record.report.service)
        record.report = report
        record.load = report.load
        record.held = False
        record.departing = False
        self.update(record)

    def note_needs(self, service: str, needs: _resources.Resources) -> None:
        """Take in what a task of a service takes of a target's room."""
        known = self._typical.get(service, needs)
        self._typical[service] = _room.add_resources(
            _room.scale_resources(known, 1.0 - NEEDS_WEIGHT),
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
            self._aged_at.pop(service, None)

    def update(self, record: AgentRecord) -> None:
        """Bring the pool in step with what is known of an agent."""
        report = record.report
        pool = self._pools.get(report.service)
        if pool is None:
            pool = _targets.Pool(margin=self._margin)
            self._pools[report.service] = pool
        view = pool.get(report.agent)
        slots = 0 if record.departing else record.load.slots
        occupied = record.load.others + len(record.outstanding)
        used = _room.add_resources(record.load.others_use, record.own_use)
        if view is None:
            view = _targets.TargetView(
                report.agent,
                report.resources,
                slots,
                occupied,
                self._get_speed(report.agent, record.heard_at),
                self._find_limit(record),
                on_probation=report.state == _targets.PROBATION,
                room=report.room,
                used=used,
            )
            pool.add(view)
            return
        view.room = report.room
        view.used = used
        view.resources = report.resources
        view.slots = slots
        view.occupied = occupied
        view.usable_until = self._find_limit(record)
        view.held = record.held
        view.on_probation = report.state == _targets.PROBATION
        pool.update(view)

    def _find_limit(self, record: AgentRecord) -> datetime.datetime:
        # An idle agent reports seldom, so silence counts from the dispatch.
        since = max(record.heard_at, record.busy_since or record.heard_at)
        return since + self.get_suspicion(record)

    def find_pool(self, service: str) -> _targets.Pool | None:
        """Return the targets of a service as they were last ranked."""
        return self._pools.get(service)

    def get_pool(
        self, service: str, now: datetime.datetime
    ) -> _targets.Pool | None:
        """Return the targets of a service, ranked not long ago."""
        pool = self._pools.get(service)
        if pool is None:
            return None
        ranked_at = self._ranked_at.get(service)
        if ranked_at is None or now - ranked_at >= RANKING_INTERVAL:
            self._ranked_at[service] = now
            pool.typical_needs = self._typical.get(service, pool.typical_needs)
            for view in pool.ranked:
                view.speed = self._get_speed(view.agent, now)
            pool.rank_targets()
        aged_at = self._aged_at.setdefault(service, now)
        if now - aged_at >= _staleness.choose_interval(len(pool)):
            self._aged_at[service] = now
            self._age_loads(pool, now)
        return pool

    def _age_loads(self, pool: _targets.Pool, now: datetime.datetime) -> None:
        for view in pool.ranked:
            record = self.agents[view.agent]
            if not record.load.others:
                continue
            others = _staleness.expect_others(
                record.load.others, now - record.heard_at, view.speed
            )
            view.occupied = round(others) + len(record.outstanding)
            view.used = _room.add_resources(
                _room.scale_resources(
                    record.load.others_use, others / record.load.others
                ),
                record.own_use,
            )
            pool.update(view)
