"""A simulated agent: the product's executor beside a simulated target."""

from collections.abc import Callable
import datetime
import functools

import cowslipgate_core as core

from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _targets

SERVICE = "desk"
HEARTBEAT_SECONDS = 0.5
"""Interval between reports; the users' setting."""

TICK_SECONDS = 0.1
"""Interval between checks of deadlines."""

STOP_SECONDS = 0.02
"""Time from a stop until the run has ended."""

TARGET_TIMEOUT = datetime.timedelta(hours=1)
"""Longer than a simulated day, as simulated targets announce only once."""

Send = Callable[[int, object], None]


class Agent:
    """Runs the attempts that entries send, and reports their outcomes.

    :param send: sends a message to the entry of an incarnation
    :param find_seconds: returns the run time of a task at speed one
    """

    def __init__(
        self,
        name: str,
        domain: int,
        target: _targets.Target,
        loop: _loop.Loop,
        send: Send,
        find_seconds: Callable[[str], float],
    ) -> None:
        self.name = name
        self.domain = domain
        self.executor = core.Executor(1, 0)
        self.target = target
        self._loop = loop
        self._send = send
        self._find_seconds = find_seconds
        self._running: set[core.AttemptKey] = set()
        self._entries: list[int] = []
        self._room = core.Resources(131_072, 0, target.millicores)

    def start(self, entries: list[int]) -> None:
        """Connect to entries and start the periodic reports."""
        self._entries = entries
        announcement = core.Announcement(
            SERVICE,
            f"http://{self.name}",
            core.UNBOUNDED_SLOTS,
            core.UNBOUNDED_SLOTS,
            self._room,
            self._room,
        )
        self._perform(self.executor.announce(announcement, self._loop.now()))
        for entry in entries:
            self.executor.connect(entry)
        self._send_reports()
        self._tick()

    def handle_message(self, message: object) -> None:
        """Handle a message from an entry."""
        now = self._loop.now()
        before = self.executor.state
        match message:
            case core.Dispatch():
                self._perform(self.executor.dispatch(message, now))
            case core.Withdraw():
                self._perform(self.executor.withdraw(message, now))
            case core.Beat():
                self.executor.handle_beat(message)
        self._report_state_change(before)

    def _perform(self, actions: list[core.ExecutorAction]) -> None:
        for action in actions:
            match action:
                case core.StartTask():
                    self._start_run(action)
                case core.StopTask():
                    end = functools.partial(
                        self._end_run, action.key, core.Outcome.STOPPED, 0.0
                    )
                    self._loop.call_in(STOP_SECONDS, end)
                case core.SendReports():
                    self._send_results(action)

    def _start_run(self, start: core.StartTask) -> None:
        run = self.target.start_run(self._find_seconds(start.order.task))
        self._running.add(start.key)
        end = functools.partial(
            self._end_run, start.key, run.outcome, run.seconds
        )
        self._loop.call_in(run.seconds, end)

    def _end_run(
        self, key: core.AttemptKey, outcome: core.Outcome, seconds: float
    ) -> None:
        if key not in self._running:
            return
        self._running.remove(key)
        reason = core.Reason.NONE
        if outcome is core.Outcome.FAILED:
            reason = core.Reason.TARGET_STATUS
        report = core.AttemptReport(
            key.attempt, outcome, reason, run_ms=seconds * 1_000
        )
        before = self.executor.state
        now = self._loop.now()
        self._perform(self.executor.end_task(key, report, now))
        self._report_state_change(before)

    def _send_results(self, action: core.SendReports) -> None:
        results = core.Results(
            self.name,
            1,
            self.executor.measure_load(action.entry),
            action.reports,
            action.entry,
        )
        self._send(action.entry, results)

    def _tick(self) -> None:
        before = self.executor.state
        now = self._loop.now()
        self._perform(self.executor.tick(now, TARGET_TIMEOUT))
        self._report_state_change(before)
        self._loop.call_in(TICK_SECONDS, self._tick)

    def _send_reports(self) -> None:
        for entry in self._entries:
            self._send_report(entry)
        self._loop.call_in(HEARTBEAT_SECONDS, self._send_reports)

    def _report_state_change(self, before: str) -> None:
        if self.executor.state != before:
            for entry in self._entries:
                self._send_report(entry)

    def _send_report(self, entry: int) -> None:
        report = core.Report(
            self.name,
            1,
            SERVICE,
            str(self.domain),
            self.executor.state,
            self._room,
            self.executor.measure_load(entry),
            0,
            "",
            self.executor.get_link(entry),
            self._room,
        )
        self._send(entry, report)
