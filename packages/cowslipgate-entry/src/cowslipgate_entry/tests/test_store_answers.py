"""Tests that each call of the table service is answered."""

import circuits
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.callers import _requests
from cowslipgate_entry.store import _store

CHANNEL = "caller"
DEEP = b"[" * 50_000 + b"]" * 50_000
HUGE = b"9" * 40


class StoreCaller(circuits.BaseComponent):
    """A caller of the client that answers its HTTP calls itself."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[transport.Call] = []
        self.answers: list[_requests.StoreAnswer] = []
        _store.Store(transport.Address("127.0.0.1", 1)).register(self)

    @circuits.handler("call_http", channel=_store.CHANNEL)
    def _on_call_http(self, call: transport.Call) -> None:
        self.requests.append(call)

    @circuits.handler("store_answered")
    def _on_store_answered(self, answer: _requests.StoreAnswer) -> None:
        self.answers.append(answer)

    def read(self, body: bytes) -> None:
        """Read a row, and let the service answer with a body."""
        call = _requests.StoreCall(1, CHANNEL, ("entries", "live"))
        self._process(_events.call_store(call))
        answer = transport.CallAnswer(self.requests[-1], 200, {}, body)
        self._process(transport.http_answered(answer))

    def _process(self, event: circuits.Event) -> None:
        self.fire(event, _store.CHANNEL)
        while len(self):
            self.flush()


# Guards against a read that is never answered, or whose revision is none.
@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"value":%b,"revision":1}' % DEEP,
        b'{"value":1,"revision":1,"more":%b}' % DEEP,
        b'{"value":1,"revision":%b}' % HUGE,
        b'{"value":1,"revision":"1"}',
        b'{"value":1,"revision":-1}',
        b'{"value":1}',
        b"[]",
        b"\xff",
        b"",
    ],
)
def test_odd_answer_counts_as_none(body: bytes) -> None:
    caller = StoreCaller()
    caller.read(body)
    results = [answer.result for answer in caller.answers]
    assert results == [_requests.StoreResult.UNREACHABLE]


def test_row_is_read() -> None:
    caller = StoreCaller()
    caller.read(b'{"value":{"a":[1]},"revision":7}')
    (answer,) = caller.answers
    assert (answer.value, answer.revision) == ({"a": [1]}, 7)


# Guards against an entry none of whose heartbeats can be sent any more.
@pytest.mark.parametrize("version", [-1, 2**63, 2**64, "1", None])
def test_configuration_whose_version_is_out_of_range_is_malformed(
    version: object,
) -> None:
    value = {"version": version, "document": {}}
    assert _requests.decode_configuration(value) is None
