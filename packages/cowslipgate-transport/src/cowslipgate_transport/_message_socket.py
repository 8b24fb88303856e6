"""ZeroMQ sockets as circuits components that exchange typed messages."""

import sys
from typing import Any

import attrs
import circuits
from circuits.core import pollers
import zmq

import cowslipgate_core as core
from cowslipgate_transport import _curve

MAX_MESSAGE_BYTES = 16_777_216
HIGH_WATER_MARK = 10_000
"""Maximum number of messages queued per peer and direction."""

KEEPALIVE_IDLE_SECONDS = 4
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
RECONNECT_MS = 100
RECONNECT_MAX_MS = 200
"""Longest pause between two connection attempts: a restarted entry must see
its agents before it can place tasks. The attempts end when the owner treats
the entry as lost and closes the socket."""

CONNECT_TIMEOUT_MS = 500
"""Time for one connection attempt. A VM without power does not answer, and
the kernel would repeat the SYN only after seconds. Regions are some 70 ms
apart."""

LINGER_MS = 1_000
"""Time for which a closed socket still sends queued messages."""

FRAMES = 2
"""Frames of a message: its kind and its body."""

# Plain integers, since pyzmq's enumerations create an object at each use.
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_NOBLOCK = int(zmq.NOBLOCK)
_DISCONNECTED = int(zmq.EVENT_DISCONNECTED)


class send_message(circuits.Event):
    """Asks a socket to send; the arguments are identity and message.

    Sockets with one peer ignore the identity.
    """


class message_received(circuits.Event):
    """A message was received; the arguments are identity and message."""


class message_unsent(circuits.Event):
    """A message could not be sent; identity and message."""


class message_malformed(circuits.Event):
    """A message could not be decoded; identity and WireError."""


class peer_connected(circuits.Event):
    """A socket's only peer is connected; the argument is its identity."""


class peer_disconnected(circuits.Event):
    """A socket's only peer is disconnected; the argument is its identity."""


class MessageSocket(circuits.BaseComponent):
    """Owns one ZeroMQ socket.

    Messages received by a ROUTER carry their sender's identity; those of
    other sockets carry the identity ``peer``.
    """

    def __init__(
        self,
        channel: str,
        poller: pollers.BasePoller,
        sock: zmq.Socket,
        peer: bytes = b"",
    ) -> None:
        super().__init__(channel=channel)
        self._poller = poller
        self._socket = sock
        self._peer = peer
        self._routed = sock.type == zmq.ROUTER
        self._monitor: zmq.Socket | None = None
        if not self._routed:
            self._monitor = _open_monitor(sock)
        self.sent_bytes = 0
        self.received_bytes = 0
        for descriptor in self._get_descriptors():
            poller.addReader(self, descriptor)

    def _get_descriptors(self) -> list[int]:
        descriptors = [self._socket.getsockopt(zmq.FD)]
        if self._monitor is not None:
            descriptors.append(self._monitor.getsockopt(zmq.FD))
        return descriptors

    @property
    def endpoint(self) -> str:
        """Address that the socket is bound to."""
        return self._socket.getsockopt(zmq.LAST_ENDPOINT).decode()

    def close(self) -> None:
        """Close the socket; queued messages are still sent."""
        for descriptor in self._get_descriptors():
            self._poller.discard(descriptor)
        if self._monitor is not None:
            self._socket.disable_monitor()
            self._monitor.close(linger=0)
        self._socket.close(linger=LINGER_MS)
        self.unregister()

    @circuits.handler("registered", channel="*")
    def _on_registered(
        self, component: circuits.BaseComponent, manager: object
    ) -> None:
        # Messages from before the descriptor was polled raise no event.
        if component is self:
            self._receive_all()

    @circuits.handler("send_message")
    def _on_send_message(self, identity: bytes, message: Any) -> None:
        frames = list(core.encode_message(message))
        if self._routed:
            frames.insert(0, identity)
        try:
            self._socket.send_multipart(frames, _NOBLOCK)
        except zmq.ZMQError:
            self.fire(message_unsent(identity, message))
        else:
            self.sent_bytes += sum(len(frame) for frame in frames)
        # The descriptor is edge-triggered and sending may clear it.
        if self._has_messages():
            self._receive_all()

    @circuits.handler("_read")
    def _on_readable(self, descriptor: int) -> None:
        self._receive_all()

    def _receive_all(self) -> None:
        self._receive_monitor_events()
        while self._has_messages():
            try:
                frames = self._socket.recv_multipart(_NOBLOCK)
            except zmq.ZMQError:
                return
            self._handle_frames(frames)

    def _has_messages(self) -> bool:
        return not self._socket.closed and bool(
            self._socket.getsockopt(_EVENTS) & _POLLIN
        )

    def _receive_monitor_events(self) -> None:
        monitor = self._monitor
        if monitor is None or monitor.closed:
            return
        while monitor.getsockopt(_EVENTS) & _POLLIN:
            frames = monitor.recv_multipart(_NOBLOCK)
            # The first two bytes are the number of the event.
            number = int.from_bytes(frames[0][:2], sys.byteorder)
            if number == _DISCONNECTED:
                self.fire(peer_disconnected(self._peer))
            else:
                self.fire(peer_connected(self._peer))

    def _handle_frames(self, frames: list[bytes]) -> None:
        self.received_bytes += sum(len(frame) for frame in frames)
        identity = frames.pop(0) if self._routed else self._peer
        if len(frames) != FRAMES:
            kind = frames[0] if frames else b""
            error = core.WireError(kind[:32], "expected two frames")
            self.fire(message_malformed(identity, error))
            return
        try:
            message = core.decode_message(*frames)
        except core.WireError as error:
            self.fire(message_malformed(identity, error))
            return
        self.fire(message_received(identity, message))


@attrs.frozen
class Traffic:
    """Bytes of messages that one process has sent and received."""

    sent_bytes: int
    """Bytes sent."""

    received_bytes: int
    """Bytes received."""


def measure_traffic(component: circuits.BaseComponent) -> Traffic:
    """Return the total traffic of the process's open message sockets."""
    pending = [component.root]
    sockets = []
    while pending:
        found = pending.pop()
        pending.extend(found.components)
        if isinstance(found, MessageSocket):
            sockets.append(found)
    return Traffic(
        sum(sock.sent_bytes for sock in sockets),
        sum(sock.received_bytes for sock in sockets),
    )


def open_router(
    context: zmq.Context, bind: str, secured: bool = False
) -> zmq.Socket:
    """Return a ROUTER socket bound to ``bind``, such as ``tcp://ip:port``.

    :param secured: whether peers must authenticate, see ``apply_curve``

    :raises zmq.ZMQError: when the address cannot be bound
    """
    sock = _open_socket(context, zmq.ROUTER)
    sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
    sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
    if secured:
        sock.setsockopt(zmq.CURVE_SERVER, 1)
        sock.setsockopt(zmq.ZAP_DOMAIN, _curve.ZAP_DOMAIN)
    sock.bind(bind)
    return sock


def open_dealer(
    context: zmq.Context, connect: str, identity: bytes
) -> zmq.Socket:
    """Return a DEALER socket that connects to ``connect``."""
    sock = _open_socket(context, zmq.DEALER)
    sock.setsockopt(zmq.IDENTITY, identity)
    # Without a connection a send fails at once, so nothing stale is queued.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    # The first handshake may complete before a component owns the socket.
    _open_monitor(sock)
    sock.connect(connect)
    return sock


def _open_monitor(sock: zmq.Socket) -> zmq.Socket:
    # pyzmq keeps one monitor per socket and returns it again later.
    return sock.get_monitor_socket(
        zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
    )


def _open_socket(context: zmq.Context, kind: int) -> zmq.Socket:
    sock = context.socket(kind)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    # ZeroMQ's heartbeats abort the process if their timer fires after a
    # connection with stopped input was closed, so TCP keepalive is used.
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
    return sock
