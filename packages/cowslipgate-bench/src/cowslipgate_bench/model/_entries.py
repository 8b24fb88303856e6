"""A simulated entry: the product's ledger, driven as in its dispatcher."""

from collections.abc import Callable
import datetime

import cowslipgate_core as core

from cowslipgate_bench.model import _agents
from cowslipgate_bench.model import _loop

TEAM = "callers"
SLOTS = 1_000_000
"""Slots of the only team; so many that no quota applies."""

TIMING = core.Timing(
    agent_suspect_after=datetime.timedelta(milliseconds=1_200),
    agent_lost_after=datetime.timedelta(milliseconds=3_500),
)
"""The users' settings."""

Send = Callable[[str, object], None]
Answer = Callable[[core.Job, core.JobAnswer], None]


class Entry:
    """Accepts jobs and sends their tasks to agents.

    :param entries: number of entries that share the targets
    :param send: sends a message to an agent
    :param answer: receives the answer to a job
    :param estimates: estimates of sizes and speeds, None to learn them
    """

    def __init__(
        self,
        incarnation: int,
        policy: core.Policy,
        entries: int,
        loop: _loop.Loop,
        send: Send,
        answer: Answer,
        estimates: core.Estimates | None = None,
    ) -> None:
        self.ledger = core.Ledger(policy, incarnation, TIMING, estimates)
        self._incarnation = incarnation
        self._entries = entries
        self._loop = loop
        self._send = send
        self._answer = answer
        self._acknowledgements = core.Acknowledgements()
        self._assignment_scheduled = False
        self._tick()

    def submit(self, job: core.Job) -> None:
        """Accept a job."""
        self.ledger.submit(job)
        self._schedule_assignment()

    def handle_message(self, message: object) -> None:
        """Handle a report or results from an agent."""
        now = self._loop.now()
        match message:
            case core.Report():
                self._perform(self.ledger.handle_report(message, now))
                beat = core.Beat(
                    self._incarnation,
                    0,
                    (),
                    acknowledged=self._acknowledgements.take(message.agent),
                )
                self._send(message.agent, beat)
            case core.Results():
                ended = [
                    report.attempt
                    for report in message.reports
                    if report.outcome is not core.Outcome.RUNNING
                ]
                self._acknowledgements.add(message.agent, ended, now)
                self._perform(self.ledger.handle_results(message, now))
        self._schedule_assignment()

    def _tick(self) -> None:
        self._perform(self.ledger.tick(self._loop.now()))
        self._schedule_assignment()
        self._loop.call_in(_agents.TICK_SECONDS, self._tick)

    def _schedule_assignment(self) -> None:
        if not self._assignment_scheduled and self.ledger.has_assignable_tasks:
            self._assignment_scheduled = True
            self._loop.call_in(0.0, self._assign)

    def _assign(self) -> None:
        self._assignment_scheduled = False
        actions = self.ledger.assign(
            self._loop.now(), {TEAM: SLOTS}, self._entries
        )
        self._perform(actions)

    def _perform(self, actions: list[core.LedgerAction]) -> None:
        for action in actions:
            match action:
                case core.SendOrders():
                    record = self.ledger.agents[action.agent]
                    dispatch = core.Dispatch(
                        self._incarnation,
                        action.incarnation,
                        0,
                        action.orders,
                        self._acknowledgements.take(action.agent),
                        record.report.link,
                    )
                    self._send(action.agent, dispatch)
                case core.SendWithdraw():
                    withdraw = core.Withdraw(
                        self._incarnation,
                        action.incarnation,
                        action.attempts,
                        action.stop,
                        action.stalled,
                    )
                    self._send(action.agent, withdraw)
                case core.AnswerJob():
                    self._answer(action.job, action.answer)
