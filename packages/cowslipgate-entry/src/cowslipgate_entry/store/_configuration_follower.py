"""Configuration read from a store that reports changes by long polling.

It replaces ``_configuration_manager`` where operators write the configuration
to the store themselves.
"""

from collections.abc import Callable
import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "configuration-manager"
ROWS_CHANNEL = "evacuations"
"""Where the rows of the table are passed on, before they are handled."""

FOLLOW_WAIT = datetime.timedelta(milliseconds=900)
"""Longest time that the store holds a call open for a change. A dead
connection is detected after this wait and the client's allowance, well within
the 2 s in which a configuration has to be in force."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=200)
"""Least time between a call that failed and the next; five calls per second
from each entry are far below what the store allows."""

Reader = Callable[[core.TableRow], core.Configuration]


class ConfigurationFollower(circuits.BaseComponent):
    """Adopts each higher version that is read or relayed by an agent.

    :param table: table that holds the configuration's row
    :param key: key of that row
    :param read: returns the configuration in a row, or raises
        ConfigurationError
    :param clock: source of the time for retries
    """

    channel = CHANNEL

    def __init__(
        self, table: str, key: str, read: Reader, clock: core.Clock
    ) -> None:
        super().__init__()
        self._table = table
        self._key = key
        self._read = read
        self._clock = clock
        self._configuration: core.Configuration | None = None
        self._position: int | None = None
        self._busy = False
        self._next_call = clock.now()
        self._called_at = clock.now()

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._send_call()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        self._send_call()

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        self._busy = False
        if answer.result is core.TableResult.EXPIRED:
            self._position = None
        elif answer.result is not core.TableResult.DONE:
            # A call that has timed out has waited long enough.
            self._next_call = self._called_at + RETRY_INTERVAL
            if answer.result is core.TableResult.MALFORMED:
                # The same changes would be returned again.
                self._position = None
        else:
            # A lower position would request the same changes again for ever.
            self._position = max(self._position or 0, answer.version)
            self.fire(_events.operator_rows_read(answer), ROWS_CHANNEL)
            for row in answer.rows:
                self._handle_row(row)
        self._send_call()

    @circuits.handler("configuration_relayed")
    def _on_configuration_relayed(
        self, configuration: core.Configuration
    ) -> None:
        self._adopt(configuration)

    def _send_call(self) -> None:
        if self._busy or self._clock.now() < self._next_call:
            return
        self._busy = True
        self._called_at = self._clock.now()
        call: core.TableCall = core.TableRead(CHANNEL, self._table)
        if self._position is not None:
            call = core.TableFollow(
                CHANNEL, self._table, self._position, FOLLOW_WAIT
            )
        self.fire(transport.call_table(call), "store")

    def _handle_row(self, row: core.TableRow) -> None:
        if row.key != self._key or row.removed:
            return
        try:
            configuration = self._read(row)
        except core.ConfigurationError as error:
            self.fire(
                _events.configuration_rejected(error), "state-change-log"
            )
            return
        self._adopt(configuration)

    def _adopt(self, configuration: core.Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        event = _events.configuration_adopted(configuration)
        self.fire(event, "dispatcher", "gateway")
