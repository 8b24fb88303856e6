"""Fuzz test: every complete request is answered, whatever its bytes."""

import hypothesis
from hypothesis import strategies
import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import builders

SEEDS = (
    b"GET /ok HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /ok?a=b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"PUT /a%20b HTTP/1.0\r\nX: \\u00e9\\\r\nContent-Length: 2\r\n\r\n{}",
    b"GET //x//y;z=1?& HTTP/1.1\r\nHost:\r\nConnection: Upgrade\r\n\r\n",
)
ODD_BYTES = b"\x00\t\n\r \"#%&+-./09:;?@AZ\\az~\x7f\x80\xe9\xff"
END = b"\r\n\r\n"
PADDING = b"x" * 1_200


@pytest.fixture(scope="module")
def harness() -> builders.ServerHarness:
    """Run a server with small limits."""
    limits = transport.ServerLimits(max_body_bytes=1_000, max_headers=9)
    running = builders.ServerHarness(limits)
    yield running
    running.close()


@strategies.composite
def requests(draw: strategies.DrawFn) -> bytes:
    """Return a request with a few bytes changed, inserted or removed."""
    data = bytearray(draw(strategies.sampled_from(SEEDS)))
    for _ in range(draw(strategies.integers(0, 6))):
        place = draw(strategies.integers(0, len(data) - 1))
        byte = draw(strategies.sampled_from(list(ODD_BYTES)))
        match draw(strategies.integers(0, 2)):
            case 0:
                data[place] = byte
            case 1:
                data.insert(place, byte)
            case 2:
                del data[place]
    return bytes(data)


@hypothesis.given(data=requests())
@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=500
)
def test_every_request_is_answered_or_refused(
    harness: builders.ServerHarness, data: bytes
) -> None:
    sock = harness.connect()
    harness.send(sock, data)
    # Completes the head or the body if the server still expects more.
    harness.send(sock, END + PADDING + END)
    reply = harness.read_reply(sock)
    assert 100 <= reply.status <= 505
    sock.close()
    harness.run_until(lambda: harness.server.connections == 0, "closed")
    assert harness.echo.exceptions == []
