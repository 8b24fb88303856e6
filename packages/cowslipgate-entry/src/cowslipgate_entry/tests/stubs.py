"""HTTP stub of an entry for tests of the commands."""

import functools
import http.server
import json
import threading
from typing import Any

POLL_SECONDS = 0.01


class Stub(http.server.ThreadingHTTPServer):
    """Server that records requests and gives a fixed answer."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.status = status
        self.body = body
        self.seen: list[Any] = []
        serve = functools.partial(self.serve_forever, POLL_SECONDS)
        threading.Thread(target=serve, daemon=True).start()

    @property
    def address(self) -> str:
        """Address and port of the server."""
        return f"127.0.0.1:{self.server_port}"


class _Handler(http.server.BaseHTTPRequestHandler):
    server: Stub

    def do_POST(self) -> None:
        """Record the request and send the fixed answer."""
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size)
        self.server.seen.append((self.command, self.path, self.headers, body))
        self.send_response(self.server.status)
        self.send_header("ETag", '"3"')
        self.send_header("Content-Length", str(len(self.server.body)))
        self.end_headers()
        self.wfile.write(self.server.body)

    do_GET = do_POST
    do_DELETE = do_POST
    do_PATCH = do_POST

    def log_message(self, *arguments: object) -> None:
        """Suppress the access log."""


def encode(body: object) -> bytes:
    """Return a body in JSON."""
    return json.dumps(body).encode()
