"""Discovery of entries in the store and through known entries."""

import datetime
import itertools
import random

import circuits

from cowslipgate_agent import _events
from cowslipgate_agent import _member_calls
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "discovery"

SEED_TIMEOUT = datetime.timedelta(seconds=1)
"""Time for an answer of a seed, which may be down or outdated."""

RETRY_SECONDS = 1.0
"""Mean time after a failed read until the store and the next seed are asked;
it doubles with each failure, so that an overloaded store recovers."""

MAX_DOUBLINGS = 3
"""Doublings of this time at most."""

RETRY_SPREAD = (0.5, 1.5)
"""Range of the factor by which the times of different agents differ."""


class TableDiscovery(circuits.BaseComponent):
    """Reader of the entries' rows that also asks seeds, for outages.

    :param seeds: addresses of entries that may be outdated or down
    """

    channel = CHANNEL

    def __init__(self, seeds: tuple[transport.Address, ...]) -> None:
        super().__init__()
        self._seeds = seeds
        self._seed_counter = itertools.count()
        self._numbers = itertools.count(1)
        self._read_pending = False
        self._failures = 0
        self._passed_over = transport.RowsPassedOver(self)
        # A seed that was restarted lists few entries, so an agent that found
        # some there still needs those in the store.
        self._retry = transport.Countdown(
            _events.discover_entries(), CHANNEL
        ).register(self)

    @circuits.handler("discover_entries")
    def _on_discover_entries(self) -> None:
        if not self._read_pending:
            self._read_pending = True
            call = core.TableRead(CHANNEL, core.ENTRIES_TABLE)
            self.fire(transport.call_table(call), "store")
        self._call_seed()

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        self._read_pending = False
        if answer.result is not core.TableResult.DONE:
            doublings = min(self._failures, MAX_DOUBLINGS)
            self._failures += 1
            factor = 2**doublings * random.uniform(*RETRY_SPREAD)
            self._retry.start(RETRY_SECONDS * factor)
            return
        self._failures = 0
        decoded = core.decode_leases(answer.rows)
        self._passed_over.log(core.ENTRIES_TABLE, decoded.faults)
        members = tuple(lease.member for lease in decoded.leases)
        if members:
            self.fire(_events.members_found(members), "links")

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        members = _member_calls.decode_members(answer, self._passed_over)
        if members:
            self.fire(_events.members_found(members), "links")

    def _call_seed(self) -> None:
        if not self._seeds:
            return
        seed = self._seeds[next(self._seed_counter) % len(self._seeds)]
        call = _member_calls.make_members_call(
            next(self._numbers), seed, SEED_TIMEOUT
        )
        self.fire(transport.call_http(call))
