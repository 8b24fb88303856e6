"""Execution of attempts: messages go to the executor, its actions out."""

import datetime
import functools

import circuits

from cowslipgate_agent import _events
import cowslipgate_core as core

CHANNEL = "runner"


class Runner(circuits.BaseComponent):
    """Owner of the executor, which fires an event for each of its actions."""

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
        self._draining = False

    @circuits.handler("target_announced")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        if self._draining:
            return
        before = self._read_state()
        self._perform(self._executor.announce(announcement, self._clock.now()))
        self._report_state_change(before)

    @circuits.handler("target_left")
    def _on_target_left(self) -> None:
        before = self._read_state()
        self._perform(self._executor.leave(self._clock.now()))
        self._report_state_change(before)

    @circuits.handler("target_superseded")
    def _on_target_superseded(self) -> None:
        before = self._read_state()
        self._perform(self._executor.supersede(self._clock.now()))
        self._report_state_change(before)

    @circuits.handler("target_disconnected")
    def _on_target_disconnected(self) -> None:
        before = self._read_state()
        self._perform(self._executor.disconnect(self._clock.now()))
        self._report_state_change(before)

    @circuits.handler("entry_message_received")
    def _on_entry_message_received(self, message: object) -> None:
        before = self._read_state()
        actions = _handle_message(message, self._executor, self._clock.now())
        self._perform(actions)
        self._report_state_change(before)

    @circuits.handler("entry_dropped")
    def _on_entry_dropped(self, incarnation: int) -> None:
        before = self._read_state()
        self._perform(
            self._executor.drop_entry(incarnation, self._clock.now())
        )
        self._report_state_change(before)

    @circuits.handler("task_ended")
    def _on_task_ended(
        self, key: core.AttemptKey, report: core.AttemptReport
    ) -> None:
        before = self._read_state()
        self._perform(self._executor.end_task(key, report, self._clock.now()))
        self._report_state_change(before)

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        before = self._read_state()
        self._perform(
            self._executor.tick(self._clock.now(), self._target_lapse)
        )
        self._report_state_change(before)
        if self._draining and self._executor.idle:
            self.fire(_events.agent_drained(), "process")

    @circuits.handler("perform_actions")
    def _on_perform_actions(self, actions: list[core.ExecutorAction]) -> None:
        self._perform(actions)

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._draining = True
        self._perform(self._executor.leave(self._clock.now()))
        self.fire(_events.send_reports(), "links")

    def _read_state(self) -> tuple[str, int, core.Announcement | None]:
        executor = self._executor
        return executor.state, executor.links, executor.announcement

    def _report_state_change(
        self, before: tuple[str, int, core.Announcement | None]
    ) -> None:
        if self._read_state() != before:
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
def _handle_message(
    message: object, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return []


@_handle_message.register
def _handle_dispatch(
    message: core.Dispatch, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return executor.dispatch(message, now)


@_handle_message.register
def _handle_withdraw(
    message: core.Withdraw, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    return executor.withdraw(message, now)


@_handle_message.register
def _handle_acknowledge(
    message: core.Acknowledge,
    executor: core.Executor,
    now: datetime.datetime,
) -> list[core.ExecutorAction]:
    executor.acknowledge(message.entry, message.attempts)
    return []


@_handle_message.register
def _handle_release(
    message: core.Release, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    executor.acknowledge(message.entry, message.acknowledged)
    return []


@_handle_message.register
def _handle_beat(
    message: core.Beat, executor: core.Executor, now: datetime.datetime
) -> list[core.ExecutorAction]:
    executor.handle_beat(message)
    return []
