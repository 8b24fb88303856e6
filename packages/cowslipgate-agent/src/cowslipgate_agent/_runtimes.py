"""Requests to a target that runs tasks under leases.

``RuntimeCodec`` hides the target's protocol, so that ``LeasedCalls`` does not
depend on its wire format.
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
    """Encoded request body."""


@attrs.frozen
class StartAnswer:
    """A target's answer to an order to start a run."""

    reply: core.StartReply
    """Decision of the target."""

    clock_ms: int
    """The target's clock in milliseconds, or zero if the answer lacks it."""


@attrs.frozen
class StopAnswer:
    """A target's answer to an order to stop a run."""

    accepted: bool
    """Whether the target stops the run."""

    clock_ms: int
    """The target's clock in milliseconds, or zero if the answer lacks it."""


class RuntimeCodec(abc.ABC):
    """Encoder of requests to a target and decoder of its answers."""

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
        """Return the runs at the target, or why it refused the watch.

        :raises core.WireError: when the answer is neither
        """

    @abc.abstractmethod
    def decode_start(self, answer: transport.CallAnswer) -> StartAnswer:
        """Return the target's answer to an order to start."""

    @abc.abstractmethod
    def decode_stop(self, answer: transport.CallAnswer) -> StopAnswer:
        """Return the target's answer to an order to stop."""
