"""Requests whose caller resets the connection after its bytes were read."""

import errno
import types

import circuits
from cowslipgate_transport import _request_parser
import pytest

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SERVER = types.SimpleNamespace(secure=False, host="127.0.0.1", port=1)
OWNER = "callers"


class _Socket:
    """Socket of a connection, reset or not."""

    def __init__(self, is_reset: bool) -> None:
        self._is_reset = is_reset

    def getpeername(self) -> tuple[str, int]:
        if self._is_reset:
            raise OSError(errno.ENOTCONN, "not connected")
        return "127.0.0.1", 2


class _Events(circuits.BaseComponent):
    """Keeps the names of the events that the parser fires."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    @circuits.handler(
        "exception", "close", "request_parsed", "parse_failed", channel="*"
    )
    def _on_event(
        self, event: circuits.Event, *arguments: object, **more: object
    ) -> None:
        if event.name != "close" or OWNER in event.channels:
            self.names.append(event.name)


@pytest.mark.parametrize(
    ("is_reset", "names"), [(True, ["close"]), (False, ["request_parsed"])]
)
def test_reset_connection_is_closed_without_an_error(
    is_reset: bool, names: list[str]
) -> None:
    root = circuits.BaseComponent()
    events = _Events().register(root)
    parser = _request_parser.RequestParser(SERVER, OWNER).register(root)
    parser.parse(_Socket(is_reset), REQUEST)
    while len(root):
        root.flush()
    assert events.names == names
