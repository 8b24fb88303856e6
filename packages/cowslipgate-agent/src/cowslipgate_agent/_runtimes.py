"""What an agent asks of a target that runs tasks under leases.

The protocol of the target is behind ``RuntimeCodec``, so that the component
that orders runs knows no names of the wire.
"""

import abc

import attrs

import cowslipgate_core as core
import cowslipgate_transport as transport


@attrs.frozen
class RuntimeRequest:
    """An HTTP request to a target."""

    method: str
    """HTTP method."""

    path: str
    """Path and query."""

    headers: dict[str, str]
    """Headers besides Host and Content-Length."""

    body: bytes
    """Body."""


@attrs.frozen
class StartAnswer:
    """A target's answer to an order to start a run."""

    reply: core.StartReply
    """How it answered."""

    clock_ms: int
    """The target's clock, or zero when it was not told."""


class RuntimeCodec(abc.ABC):
    """Turns orders into requests of a target's protocol, and answers back."""

    @abc.abstractmethod
    def encode_watch(self, watch: core.CallWatch) -> RuntimeRequest:
        """Return the request that renews the lease and lists runs."""

    @abc.abstractmethod
    def encode_start(self, start: core.CallStart) -> RuntimeRequest:
        """Return the request that starts a run."""

    @abc.abstractmethod
    def encode_stop(self, stop: core.CallStop) -> RuntimeRequest:
        """Return the request that stops a run."""

    @abc.abstractmethod
    def decode_watch(self, answer: transport.CallAnswer) -> core.WatchReply:
        """Return what the target says of its runs.

        :raises core.WireError: when the answer says nothing of them
        """

    @abc.abstractmethod
    def decode_start(self, answer: transport.CallAnswer) -> StartAnswer:
        """Return how the target answered an order to start."""

    @abc.abstractmethod
    def decode_stop(self, answer: transport.CallAnswer) -> bool:
        """Return whether the target has taken the order to stop."""
