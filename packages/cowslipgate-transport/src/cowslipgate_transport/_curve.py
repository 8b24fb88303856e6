"""CURVE keys and authentication of the sockets between processes."""

import attrs
import circuits
from circuits.core import pollers
import zmq
from zmq.utils import z85

ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_DOMAIN = b"cowslipgate"
ACCEPTED = b"200"
DENIED = b"400"
CURVE = b"CURVE"


@attrs.frozen
class CurveKeys:
    """CURVE keys of one process, encoded as Z85."""

    secret: str
    """Secret key of the process."""

    server: str
    """Public key that all entries share."""


class key_denied(circuits.Event):
    """A peer's key was rejected; the argument is the peer's IP address."""


def derive_public_key(secret: str) -> str:
    """Return the public key of a secret key, both encoded as Z85."""
    return zmq.curve_public(secret.encode()).decode()


def apply_curve(context: zmq.Context, keys: CurveKeys) -> None:
    """Set the keys of all sockets that the context opens from now on.

    ``open_router`` makes sockets that bind CURVE servers.
    """
    context.setsockopt(zmq.CURVE_SECRETKEY, keys.secret.encode())
    public = derive_public_key(keys.secret)
    context.setsockopt(zmq.CURVE_PUBLICKEY, public.encode())
    context.setsockopt(zmq.CURVE_SERVERKEY, keys.server.encode())


class KeyCheck(circuits.BaseComponent):
    """Accepts only peers whose public key is allowed (ZeroMQ RFC 27, ZAP).

    :param allowed: public keys, encoded as Z85
    """

    channel = "keys"

    def __init__(
        self,
        context: zmq.Context,
        poller: pollers.BasePoller,
        allowed: tuple[str, ...],
    ) -> None:
        super().__init__()
        self._allowed = frozenset(z85.decode(key) for key in allowed)
        self._socket = context.socket(zmq.REP)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.bind(ZAP_ADDRESS)
        poller.addReader(self, self._socket.getsockopt(zmq.FD))

    @circuits.handler("_read")
    def _on_readable(self, descriptor: int) -> None:
        while self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._answer(self._socket.recv_multipart(zmq.NOBLOCK))

    def _answer(self, frames: list[bytes]) -> None:
        _, request, _, address, _, mechanism, *credentials = frames
        known = mechanism == CURVE and credentials[0] in self._allowed
        if not known:
            self.fire(key_denied(address.decode()))
        status = ACCEPTED if known else DENIED
        self._socket.send_multipart(
            [ZAP_VERSION, request, status, b"", b"", b""], zmq.NOBLOCK
        )
