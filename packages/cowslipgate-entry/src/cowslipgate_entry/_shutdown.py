"""Root component of the entry process, and its planned stop."""

import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry import _settings
from cowslipgate_entry.observation import _changes
import cowslipgate_transport as transport


ANSWER_TIME = datetime.timedelta(milliseconds=200)
"""Time for sending the last answers: two ticks."""

EXTRA_TICKS = 3
"""Ticks after the end of the drain while answers are not sent. After a pause
of the process, its components see that the drain has ended only at the first.
At the second, those that still wait are told that nothing is known."""


class EntryProcess(transport.Process):
    """Root component that drains the entry on a signal and exits.

    The exit status is 0 if every request was answered in time, else 1.
    """

    channel = "process"

    def __init__(
        self,
        clock: core.Clock,
        settings: _settings.EntrySettings,
        logs: transport.Logs,
    ) -> None:
        super().__init__()
        self._logs = logs
        self._clock = clock
        self._settings = settings
        self._drain_since: datetime.datetime | None = None
        self._server: transport.HttpServer | None = None
        self._drained = False
        self._closing = False
        self._extra_ticks = 0

    def attach_server(self, server: transport.HttpServer) -> None:
        """Set the server that must finish its answers before the exit."""
        self._server = server

    @circuits.handler("signal", channel="*")
    def _on_signal(
        self, event: circuits.Event, number: int, *arguments: object
    ) -> None:
        event.stop()
        if self._drain_since is None:
            change = transport.ProcessStopping(int(number))
            self.fire(transport.changed(change), "logs")
            self._drain_since = self._clock.now()
            self.fire(_events.drain(), "dispatcher", "peers", "leases")
            stops_at = (
                self._drain_since + self._settings.drain_timeout - ANSWER_TIME
            )
            self.fire(
                _events.stop_at(stops_at), "dispatcher", "requested-jobs"
            )
            self.fire(transport.drain_http(), _events.GATEWAY)

    @circuits.handler("entry_drained")
    def _on_entry_drained(self) -> None:
        self._drained = True

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if self._drain_since is None:
            return
        elapsed = self._clock.now() - self._drain_since
        if elapsed >= self._settings.drain_delay and not self._closing:
            self._closing = True
            self.fire(_events.close_entry(), "dispatcher")
            self.fire(transport.close_idle_http(), _events.GATEWAY)
        waiting = self._server.waiting
        if elapsed >= self._settings.drain_timeout:
            if not waiting or self._extra_ticks == EXTRA_TICKS:
                self._exit(not waiting)
            self._extra_ticks += 1
            if self._extra_ticks == EXTRA_TICKS - 1:
                self.fire(transport.answer_rest_http(), _events.GATEWAY)
        if waiting or not self._drained:
            return
        if elapsed < self._settings.drain_delay:
            return
        if self._server.closed:
            self._exit(True)
        self.fire(transport.close_http(), _events.GATEWAY)

    def _exit(self, complete: bool) -> None:
        waiting = self._server.waiting
        self._logs.write(_changes.DrainEnded(waiting))
        raise SystemExit(0 if complete else 1)
