"""The component that tells in log lines and counters what an agent does."""

import collections

import circuits

from cowslipgate_agent import _changes
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "agent-log"
MILLISECONDS_PER_SECOND = 1_000
MAX_NAMES = 1_000
"""Orders whose tasks' names are remembered; refusals follow their orders
within one turn, in which some hundred may come."""
_REFUSALS = frozenset((core.Outcome.NOT_STARTED,))


class AgentLog(circuits.BaseComponent):
    """Watches the executor and the events around it."""

    channel = CHANNEL

    def __init__(self, executor: core.Executor, clock: core.Clock) -> None:
        super().__init__()
        self._executor = executor
        self._state = executor.state
        self._life = ""
        self._names: collections.OrderedDict[core.AttemptKey, str] = (
            collections.OrderedDict()
        )
        self._ended = transport.Counter(
            "cowslipgate_agent_tasks_total",
            "Tasks that ended, by outcome and reason.",
            "outcome",
            "reason",
        )
        self._refused = transport.Counter(
            "cowslipgate_agent_refusals_total",
            "Orders that were not taken, by reason.",
            "reason",
        )
        self._lost = transport.Counter(
            "cowslipgate_agent_entries_lost_total", "Entries given up."
        )
        self._run = transport.Summary(
            "cowslipgate_agent_run_seconds", "Time at the target.", clock
        )
        self._wait = transport.Summary(
            "cowslipgate_agent_wait_seconds", "Time in the queue.", clock
        )
        self._running = transport.Gauge(
            "cowslipgate_agent_running", "Tasks at the target.", self._count
        )

    def render(self) -> bytes:
        """Return the text exposition of the agent's metrics."""
        return transport.render_families(
            (
                self._ended,
                self._refused,
                self._lost,
                self._run,
                self._wait,
                self._running,
            )
        )

    @circuits.handler("target_announced", channel="runner")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        life = announcement.life or announcement.address
        if life != self._life:
            self._life = life
            change = _changes.TargetSeen(
                life, announcement.service, announcement.address
            )
            self._tell(change)

    @circuits.handler("entry_heard", channel="runner", priority=5)
    def _on_entry_heard(self, message: object) -> None:
        # Before the runner, which may refuse the orders.
        if not isinstance(message, core.Dispatch):
            return
        for order in message.orders:
            key = core.AttemptKey(message.entry, order.attempt)
            self._names[key] = order.name or order.task
        while len(self._names) > MAX_NAMES:
            self._names.popitem(last=False)

    @circuits.handler("target_unclear", channel="*")
    def _on_target_unclear(self, error: core.WireError) -> None:
        self._tell(_changes.TargetUnclear(str(error)))

    @circuits.handler("entry_linked", channel="*")
    def _on_entry_linked(self, member: core.Member) -> None:
        change = _changes.EntryLinked(member.incarnation, member.address)
        self._tell(change)

    @circuits.handler("entry_dropped", channel="runner", priority=5)
    def _on_entry_dropped(self, incarnation: int) -> None:
        # Before the runner, which stops the tasks.
        self._lost.add()
        running = self._executor.measure_load(incarnation).own
        self._tell(_changes.EntryLost(incarnation, running))

    @circuits.handler("task_ended", channel="runner", priority=5)
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        # Before the runner, which forgets the order.
        held = self._executor.running.get(key)
        if held is None:
            return
        wait = held.started_at - held.queued_at
        self._ended.add(report.outcome.value, report.reason.value)
        self._run.observe(report.run_ms / MILLISECONDS_PER_SECOND)
        self._wait.observe(wait.total_seconds())
        change = _changes.TaskEnded(
            held.order.name or held.order.task,
            held.order.run,
            key.entry,
            report.outcome.value,
            report.reason.value,
            round(wait.total_seconds() * MILLISECONDS_PER_SECOND),
            round(report.run_ms),
        )
        self._tell(change)

    @circuits.handler("report_attempts", channel="links")
    def _on_report_attempts(self, action: core.SendReports) -> None:
        refused = [
            report
            for report in action.reports
            if report.outcome in _REFUSALS and not report.run_ms
        ]
        if not refused:
            return
        for report in refused:
            self._refused.add(report.reason.value)
        change = _changes.TasksRefused(
            action.entry,
            tuple(report.attempt for report in refused),
            tuple(
                self._names.get(
                    core.AttemptKey(action.entry, report.attempt), ""
                )
                for report in refused
            ),
            tuple(report.reason.value for report in refused),
            len(self._executor.running),
        )
        self._tell(change)

    @circuits.handler("tick", channel="runner")
    def _on_tick(self) -> None:
        state = self._executor.state
        if state != self._state:
            change = _changes.TargetStateChanged(
                self._state, state, len(self._executor.running)
            )
            self._state = state
            self._tell(change)

    def _count(self) -> dict[tuple[str, ...], float]:
        return {(): len(self._executor.running)}

    def _tell(self, change: transport.Change) -> None:
        self.fire(transport.changed(change), "logs")
