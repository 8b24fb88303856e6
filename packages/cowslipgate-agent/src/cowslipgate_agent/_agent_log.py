"""Log lines and metrics of an agent."""

import collections
import datetime

import circuits

from cowslipgate_agent import _changes
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "agent-log"
MILLISECONDS_PER_SECOND = 1_000
MILLISECOND = datetime.timedelta(milliseconds=1)
UNKNOWN_MS = -1
UNKNOWN_TOKEN = -1
MAX_TASK_NAMES = 1_000
"""Orders whose task names are kept for the log. Refusals follow their orders
within one round of events, which may bring a few hundred."""
_REFUSALS = frozenset((core.Outcome.NOT_STARTED,))


class AgentLog(circuits.BaseComponent):
    """Component that logs and counts what the executor and its events do."""

    channel = CHANNEL

    def __init__(self, executor: core.Executor, clock: core.Clock) -> None:
        super().__init__()
        self._executor = executor
        self._clock = clock
        self._state = executor.state
        self._target_incarnation = ""
        self._target_messages = transport.MessagesPassedOver(self)
        self._entry_messages = transport.MessagesPassedOver(self)
        self._task_names: collections.OrderedDict[core.AttemptKey, str] = (
            collections.OrderedDict()
        )
        self._sent_orders: dict[core.AttemptKey, tuple[str, int, int]] = {}
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
        self._pauses = transport.Counter(
            "cowslipgate_agent_pauses_total", "Pauses of the process."
        )
        self._run_seconds = transport.Summary(
            "cowslipgate_agent_run_seconds", "Time at the target.", clock
        )
        self._wait_seconds = transport.Summary(
            "cowslipgate_agent_wait_seconds", "Time in the queue.", clock
        )
        self._running = transport.Gauge(
            "cowslipgate_agent_running",
            "Tasks at the target.",
            self._count_running,
        )

    def render(self) -> bytes:
        """Return the text exposition of the agent's metrics."""
        return transport.render_families(
            (
                self._ended,
                self._refused,
                self._lost,
                self._pauses,
                self._run_seconds,
                self._wait_seconds,
                self._running,
            )
        )

    @circuits.handler("target_announced", channel="runner")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        incarnation = announcement.life or announcement.address
        if incarnation != self._target_incarnation:
            self._target_incarnation = incarnation
            change = _changes.TargetSeen(
                incarnation, announcement.service, announcement.address
            )
            self._log_change(change)

    @circuits.handler("entry_message_received", channel="runner", priority=5)
    def _on_entry_message_received(self, message: object) -> None:
        # Runs before the runner, which may refuse the orders.
        if not isinstance(message, core.Dispatch):
            return
        for order in message.orders:
            key = core.AttemptKey(message.entry, order.attempt)
            self._task_names[key] = order.name or order.task
        while len(self._task_names) > MAX_TASK_NAMES:
            self._task_names.popitem(last=False)

    @circuits.handler("agent_paused", channel="*")
    def _on_agent_paused(
        self, pause: datetime.timedelta, suspended: datetime.timedelta
    ) -> None:
        self._pauses.add()
        change = _changes.AgentPaused(
            pause // MILLISECOND,
            suspended // MILLISECOND,
            len(self._executor.running),
        )
        self._log_change(change)

    @circuits.handler("target_message_invalid", channel="*")
    def _on_target_message_invalid(self, error: core.WireError) -> None:
        self._target_messages.log(_changes.TargetUnclear(str(error)))

    @circuits.handler("message_malformed", channel="*")
    def _on_message_malformed(
        self, peer: bytes, error: core.WireError
    ) -> None:
        self._entry_messages.log_malformed(error)

    @circuits.handler("entry_linked", channel="*")
    def _on_entry_linked(self, member: core.Member) -> None:
        change = _changes.EntryLinked(member.incarnation, member.address)
        self._log_change(change)

    @circuits.handler("entry_disconnected", channel="*")
    def _on_entry_disconnected(self, incarnation: int) -> None:
        change = _changes.EntryDisconnected(
            incarnation,
            self._executor.measure_load(incarnation).own,
            self._measure_unconfirmed_ms(incarnation),
        )
        self._log_change(change)

    @circuits.handler("entry_dropped", channel="runner", priority=5)
    def _on_entry_dropped(self, incarnation: int) -> None:
        # Runs before the runner, which stops the tasks.
        self._lost.add()
        running = self._executor.measure_load(incarnation).own
        change = _changes.EntryLost(
            incarnation, running, self._measure_unconfirmed_ms(incarnation)
        )
        self._log_change(change)

    @circuits.handler("orders_held", channel="*")
    def _on_orders_held(self, dispatch: core.Dispatch) -> None:
        attempts = tuple(order.attempt for order in dispatch.orders)
        change = _changes.OrdersHeld(
            dispatch.entry,
            attempts,
            self._measure_unconfirmed_ms(dispatch.entry),
            self._measure_age_ms(
                self._executor.get_sign(dispatch.entry, attempts)
            ),
            self._measure_age_ms(self._executor.required_sign),
        )
        self._log_change(change)

    @circuits.handler("stop_task", channel="target")
    def _on_stop_task(self, stop: core.StopTask) -> None:
        held = self._executor.running.get(stop.key)
        if held is None:
            return
        run = (
            held.order.name or held.order.task,
            held.order.run,
            stop.key.entry,
        )
        if stop.unseen_for is not None:
            change = _changes.RunUnseen(
                *run,
                stop.unseen_for // MILLISECOND,
                self._measure_unconfirmed_ms(stop.key.entry),
            )
            self._log_change(change)
        elif stop.superseded_by:
            self._log_change(_changes.RunSuperseded(*run, stop.superseded_by))

    @circuits.handler("start_ordered")
    def _on_start_ordered(
        self,
        key: core.AttemptKey,
        life: str,
        announced_at: datetime.datetime,
        token: int,
    ) -> None:
        age_ms = self._measure_age_ms(announced_at)
        self._sent_orders[key] = (life, age_ms, token)

    @circuits.handler("task_ended", channel="runner", priority=5)
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        # Runs before the runner, which forgets the order.
        held = self._executor.running.get(key)
        sent = self._sent_orders.pop(key, ("", UNKNOWN_MS, UNKNOWN_TOKEN))
        if held is None:
            return
        wait = held.started_at - held.queued_at
        self._ended.add(report.outcome.value, report.reason.value)
        self._run_seconds.observe(report.run_ms / MILLISECONDS_PER_SECOND)
        self._wait_seconds.observe(wait.total_seconds())
        change = _changes.TaskEnded(
            held.order.name or held.order.task,
            held.order.run,
            key.entry,
            report.outcome.value,
            report.reason.value,
            round(wait.total_seconds() * MILLISECONDS_PER_SECOND),
            round(report.run_ms),
            *sent,
        )
        self._log_change(change)

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
                self._task_names.get(
                    core.AttemptKey(action.entry, report.attempt), ""
                )
                for report in refused
            ),
            tuple(report.reason.value for report in refused),
            len(self._executor.running),
        )
        self._log_change(change)

    @circuits.handler("tick", channel="runner")
    def _on_tick(self) -> None:
        state = self._executor.state
        if state != self._state:
            change = _changes.TargetStateChanged(
                self._state, state, len(self._executor.running)
            )
            self._state = state
            self._log_change(change)

    def _measure_unconfirmed_ms(self, entry: int) -> int:
        return self._measure_age_ms(self._executor.get_confirmed_at(entry))

    def _measure_age_ms(self, at: datetime.datetime | None) -> int:
        if at is None:
            return UNKNOWN_MS
        return (self._clock.now() - at) // MILLISECOND

    def _count_running(self) -> dict[tuple[str, ...], float]:
        return {(): len(self._executor.running)}

    def _log_change(self, change: transport.Change) -> None:
        self.fire(transport.changed(change), "logs")
