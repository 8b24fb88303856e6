"""Assembly of the entry's components and its life as a process."""

import datetime

import circuits
from circuits.core import pollers
import zmq

import cowslipgate_core as core
from cowslipgate_entry import _cancellations
from cowslipgate_entry import _claims
from cowslipgate_entry import _dispatcher
from cowslipgate_entry import _events
from cowslipgate_entry import _gateway
from cowslipgate_entry import _keeper
from cowslipgate_entry import _peers
from cowslipgate_entry import _settings
from cowslipgate_entry import _store
import cowslipgate_transport as transport

TICK_SECONDS = 0.1

_POLICIES = {
    "late_binding": core.LateBinding(),
    "least_completion": core.LeastCompletion(),
    "matching": core.Matching(),
    "round_robin": core.RoundRobin(),
}


class EntryProcess(circuits.BaseComponent):
    """Root component of the entry."""

    channel = "process"

    def __init__(
        self, clock: core.Clock, drain_timeout: datetime.timedelta
    ) -> None:
        super().__init__()
        self._clock = clock
        self._drain_timeout = drain_timeout
        self._drain_until: datetime.datetime | None = None
        self._server: transport.HttpServer | None = None
        self._drained = False

    def attach_server(self, server: transport.HttpServer) -> None:
        """Take the server whose answers are awaited before the exit."""
        self._server = server

    @circuits.handler("signal", channel="*")
    def _on_signal(self, event: circuits.Event, *arguments: object) -> None:
        event.stop()
        if self._drain_until is None:
            self._drain_until = self._clock.now() + self._drain_timeout
            self.fire(_events.drain(), "dispatcher", "peers")

    @circuits.handler("entry_drained")
    def _on_entry_drained(self) -> None:
        self._drained = True

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if self._drain_until is None:
            return
        if self._drained and not self._server.waiting:
            raise SystemExit(0)
        if self._clock.now() >= self._drain_until:
            raise SystemExit(1)


def build_entry(
    settings: _settings.EntrySettings, clock: core.Clock
) -> EntryProcess:
    """Return the entry, ready to run.

    :raises zmq.ZMQError: when the internal address cannot be bound
    :raises OSError: when the HTTP address cannot be bound
    """
    process = EntryProcess(clock, settings.drain_timeout)
    poller = pollers.EPoll().register(process)
    server = _add_server(process, settings, clock)
    internal = _add_internal_socket(process, settings, poller)
    member = core.Member(
        core.make_incarnation(clock),
        internal.endpoint,
        f"{settings.bind_http.host}:{server.port}",
        settings.domain,
    )
    ledger = core.Ledger(_POLICIES[settings.policy])
    dispatcher = _dispatcher.Dispatcher(ledger, member, clock)
    dispatcher.register(process)
    _gateway.Gateway(dispatcher, member, settings.operator_digest).register(
        process
    )
    _cancellations.Cancellations(member, clock).register(process)
    _keeper.Keeper(member, clock).register(process)
    _claims.Claims(member).register(process)
    balancer = _make_address(settings.balancer)
    _peers.Peers(member, dispatcher, balancer, clock, poller).register(process)
    _store.Store(_make_address(settings.platform)).register(process)
    transport.HttpClient("store", poller, clock).register(process)
    transport.HttpClient("discovery", poller, clock).register(process)
    circuits.Timer(
        TICK_SECONDS,
        _events.tick(),
        "dispatcher",
        "peers",
        "keeper",
        "cancellations",
        "process",
        persist=True,
    ).register(process)
    return process


def _add_server(
    process: EntryProcess,
    settings: _settings.EntrySettings,
    clock: core.Clock,
) -> transport.HttpServer:
    limits = transport.ServerLimits(
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_connections,
    )
    bind = (settings.bind_http.host, settings.bind_http.port)
    server = transport.HttpServer(bind, _gateway.CHANNEL, clock, limits)
    server.register(process)
    process.attach_server(server)
    return server


def _add_internal_socket(
    process: EntryProcess,
    settings: _settings.EntrySettings,
    poller: pollers.BasePoller,
) -> transport.MessageSocket:
    router = transport.open_router(
        zmq.Context.instance(), f"tcp://{settings.bind_internal}"
    )
    internal = transport.MessageSocket(_peers.INTERNAL_CHANNEL, poller, router)
    internal.register(process)
    return internal


def _make_address(bind: core.Bind) -> transport.Address:
    return transport.Address(bind.host, bind.port)
