"""The configuration, followed in a store that tells of changes.

It takes the place of ``_keeper`` where operators write the configuration into
the store themselves.
"""

from collections.abc import Callable
import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "keeper"

FOLLOW_WAIT = datetime.timedelta(milliseconds=900)
"""Time that the store may wait for a change. A connection that falls silent
is noticed after it and the client's margin, well within the 2 s in which a
configuration has to be in force."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=200)
"""Time between a call that failed and the next; five a second and entry are
far below what the store allows."""

Reader = Callable[[core.TableRow], core.Configuration]


class FollowedConfiguration(circuits.BaseComponent):
    """Adopts each higher version that it reads or that is passed on to it.

    :param table: table of the configuration's row
    :param key: key of the row
    :param read: returns the configuration in a row, or raises
        ConfigurationError
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

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._call()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        self._call()

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        self._busy = False
        if answer.result is core.TableResult.EXPIRED:
            self._position = None
        elif answer.result is not core.TableResult.DONE:
            self._next_call = self._clock.now() + RETRY_INTERVAL
        else:
            # A version that goes back would ask for changes again for ever.
            self._position = max(self._position or 0, answer.version)
            for row in answer.rows:
                self._take(row)
        self._call()

    @circuits.handler("configuration_relayed")
    def _on_configuration_relayed(
        self, configuration: core.Configuration
    ) -> None:
        self._adopt(configuration)

    def _call(self) -> None:
        if self._busy or self._clock.now() < self._next_call:
            return
        self._busy = True
        call: core.TableCall = core.TableRead(CHANNEL, self._table)
        if self._position is not None:
            call = core.TableFollow(
                CHANNEL, self._table, self._position, FOLLOW_WAIT
            )
        self.fire(transport.call_table(call), "store")

    def _take(self, row: core.TableRow) -> None:
        if row.key != self._key or row.removed:
            return
        try:
            configuration = self._read(row)
        except core.ConfigurationError as error:
            self.fire(_events.configuration_rejected(error), "watch")
            return
        self._adopt(configuration)

    def _adopt(self, configuration: core.Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        event = _events.configuration_adopted(configuration)
        self.fire(event, "dispatcher", "gateway")
