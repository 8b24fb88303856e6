"""Client of the platform's table service."""

import datetime
import itertools
import json
from typing import Any

import circuits
import msgspec

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
import cowslipgate_transport as transport

CHANNEL = "store"
TIMEOUT = datetime.timedelta(seconds=3)
"""Longest time that one call may take."""

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class _Row(msgspec.Struct):
    value: Any
    revision: core.Count


_ROW_DECODER = msgspec.json.Decoder(_Row)


class Store(circuits.BaseComponent):
    """Makes HTTP calls of store calls, and store answers of HTTP answers."""

    channel = CHANNEL

    def __init__(self, address: transport.Address) -> None:
        super().__init__()
        self._address = address
        self._numbers = itertools.count(1)
        self._calls: dict[int, _requests.StoreCall] = {}

    @circuits.handler("call_store")
    def _on_call_store(self, call: _requests.StoreCall) -> None:
        number = next(self._numbers)
        self._calls[number] = call
        self.fire(transport.call_http(self._encode_call(number, call)))

    def _encode_call(
        self, number: int, call: _requests.StoreCall
    ) -> transport.Call:
        if call.read is not None:
            table, key = call.read
            return transport.Call(
                number,
                self._address,
                "GET",
                f"/tables/{table}/{key}",
                timeout=TIMEOUT,
            )
        body = {
            "conditions": [
                {"table": r.table, "key": r.key, "revision": r.revision}
                for r in call.writes
            ],
            "writes": [
                {"table": r.table, "key": r.key, "value": r.value}
                for r in call.writes
            ],
        }
        return transport.Call(
            number,
            self._address,
            "POST",
            "/transactions",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            TIMEOUT,
        )

    @circuits.handler("http_answered")
    def _on_http_answered(self, answer: transport.CallAnswer) -> None:
        call = self._calls.pop(answer.call.id)
        self._finish(_classify_answer(call, answer))

    @circuits.handler("http_failed")
    def _on_http_failed(self, failure: transport.CallFailure) -> None:
        call = self._calls.pop(failure.call.id)
        self._finish(
            _requests.StoreAnswer(call, _classify_failure(call, failure.sent))
        )

    def _finish(self, answer: _requests.StoreAnswer) -> None:
        self.fire(_events.store_answered(answer), answer.call.channel)


def _classify_answer(
    call: _requests.StoreCall, answer: transport.CallAnswer
) -> _requests.StoreAnswer:
    if answer.status == HTTP_NOT_FOUND and call.read is not None:
        return _requests.StoreAnswer(call, _requests.StoreResult.ABSENT)
    if answer.status == HTTP_CONFLICT and call.read is None:
        return _requests.StoreAnswer(call, _requests.StoreResult.CONFLICT)
    if answer.status != HTTP_OK:
        # A server error leaves open whether a write took effect.
        return _requests.StoreAnswer(call, _classify_failure(call, True))
    if call.read is None:
        return _requests.StoreAnswer(call, _requests.StoreResult.DONE)
    try:
        row = core.decode(_ROW_DECODER, answer.body, b"row")
    except core.WireError:
        return _requests.StoreAnswer(call, _requests.StoreResult.UNREACHABLE)
    return _requests.StoreAnswer(
        call, _requests.StoreResult.DONE, row.value, row.revision
    )


def _classify_failure(
    call: _requests.StoreCall, sent: bool
) -> _requests.StoreResult:
    if call.read is None and sent:
        return _requests.StoreResult.LOST
    return _requests.StoreResult.UNREACHABLE
