"""The component that owns the executor and turns its actions into _events."""

import datetime
import functools

import circuits

from cowslipgate_agent import _events
import cowslipgate_core as core

CHANNEL = "runner"


class Runner(circuits.BaseComponent):
    """Owns the attempts that the agent holds."""

    channel = CHANNEL

    def __init__(
        self,
        executor: core.Executor,
        clock: core.Clock,
        target_lapse: datetime.timedelta,
    ) -> None:
        super().__init__()
        self._executor = executor
        self._clock = clock
        self._target_lapse = target_lapse
        self._stopping = False

    @circuits.handler("target_announced")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        if self._stopping:
            return
        before = self._observe()
        self._perform(self._executor.announce(announcement, self._clock.now()))
        self._report_change(before)

    @circuits.handler("target_left")
    def _on_target_left(self) -> None:
        before = self._observe()
        self._perform(self._executor.leave(self._clock.now()))
        self._report_change(before)

    @circuits.handler("entry_heard")
    def _on_entry_heard(self, message: object) -> None:
        before = self._observe()
        actions = _apply_message(message, self._executor, self._clock.now())
        self._perform(actions)
        self._report_change(before)

    @circuits.handler("entry_dropped")
    def _on_entry_dropped(self, incarnation: int) -> None:
        before = self._observe()
        self._perform(
            self._executor.drop_entry(incarnation, self._clock.now())
        )
        self._report_change(before)

    @circuits.handler("task_ended")
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        before = self._observe()
        self._perform(self._executor.end_task(key, report, self._clock.now()))
        self._report_change(before)

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        before = self._observe()
        self._perform(
            self._executor.tick(self._clock.now(), self._target_lapse)
        )
        self._report_change(before)
        if self._stopping and self._executor.idle:
            self.fire(_events.agent_drained(), "process")

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._stopping = True
        self._perform(self._executor.leave(self._clock.now()))
        self.fire(_events.send_reports(), "links")

    def _observe(self) -> tuple[str, int]:
        return self._executor.state, self._executor.links

    def _report_change(self, before: tuple[str, int]) -> None:
        if self._observe() != before:
            self.fire(_events.send_reports(), "links")

    def _perform(self, actions: list[core.ExecutorAction]) -> None:
        announcement = self._executor.announcement
        for action in actions:
            match action:
                case core.StartTask():
                    event = _events.start_task(action, announcement)
                    self.fire(event, "target")
                case core.StopTask():
                    self.fire(_events.stop_task(action), "target")
                case core.SendReports():
                    self.fire(_events.report_attempts(action), "links")


@functools.singledispatch
def _apply_message(
    message: object, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return []


@_apply_message.register
def _apply_dispatch(
    message: core.Dispatch, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return executor.dispatch(message, now)


@_apply_message.register
def _apply_withdraw(
    message: core.Withdraw, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return executor.withdraw(message, now)


@_apply_message.register
def _apply_acknowledge(
    message: core.Acknowledge,
    executor: core.Executor,
    now: datetime.datetime,
) -> list[core.ExecutorAction]:
    executor.acknowledge(message.entry, message.attempts)
    return []


@_apply_message.register
def _apply_release(
    message: core.Release, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    executor.acknowledge(message.entry, message.acknowledged)
    return []


@_apply_message.register
def _apply_beat(
    message: core.Beat, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    executor.hear_beat(message)
    return []
