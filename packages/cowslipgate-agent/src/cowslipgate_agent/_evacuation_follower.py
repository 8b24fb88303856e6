"""Evacuated domains read from the store by an agent itself.

An agent that reaches the store is bound by an evacuation even if none of its
entries reaches the store.
"""

import datetime

import circuits

from cowslipgate_agent import _evacuation
from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "evacuation-rows"

FOLLOW_WAIT = datetime.timedelta(seconds=2)
"""Longest time that the store holds a call open. With 77 agents that makes
39 calls a second; a dead connection is detected within half of the 5 s in
which an evacuation has to be in force."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
"""Least time between a call that failed and the next, and between two reads
since the history has expired."""


class EvacuationFollower(circuits.BaseComponent):
    """Reads the operators' table and follows its changes.

    :param table: table that holds the rows
    :param find_domain: finds the domain that a key names
    """

    channel = CHANNEL

    def __init__(
        self, table: str, find_domain: core.FindDomain, clock: core.Clock
    ) -> None:
        super().__init__()
        self._table = table
        self._stored = core.StoredEvacuations(find_domain)
        self._clock = clock
        self._position: int | None = None
        self._busy = False
        self._next_call = clock.now()
        # Earliest time of a read since the history has expired.
        self._next_expiry = clock.now()

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._send_call()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        self._send_call()

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        self._busy = False
        evacuations = None
        if answer.result is core.TableResult.DONE:
            # A lower position would request the same changes again for ever.
            self._position = max(self._position or 0, answer.version)
            self._stored.record(answer)
            evacuations = self._stored.evacuations
        else:
            # The same changes would be returned again, or are gone.
            if answer.result is not core.TableResult.UNREACHABLE:
                self._position = None
            now = self._clock.now()
            if answer.result is not core.TableResult.EXPIRED:
                self._next_call = now + RETRY_INTERVAL
            else:
                # A store without history would cause calls without a pause.
                self._next_call = max(now, self._next_expiry)
                self._next_expiry = self._next_call + RETRY_INTERVAL
        event = _events.evacuations_read(evacuations)
        self.fire(event, _evacuation.CHANNEL)
        self._send_call()

    def _send_call(self) -> None:
        if self._busy or self._clock.now() < self._next_call:
            return
        self._busy = True
        call: core.TableCall = core.TableRead(CHANNEL, self._table)
        if self._position is not None:
            call = core.TableFollow(
                CHANNEL, self._table, self._position, FOLLOW_WAIT
            )
        self.fire(transport.call_table(call), "store")
