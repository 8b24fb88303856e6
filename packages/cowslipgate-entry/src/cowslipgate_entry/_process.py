"""Assembly of the entry's components, and the start of the process."""

import ipaddress
import sys

from circuits.core import pollers
import zmq

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry import _settings
from cowslipgate_entry import _shutdown
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.agents import _sender_check
from cowslipgate_entry.callers import _cancellations
from cowslipgate_entry.callers import _gateway
from cowslipgate_entry.callers import _job_responder
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.observation import _sampler
from cowslipgate_entry.observation import _state_change_log
from cowslipgate_entry.peers import _leases
from cowslipgate_entry.peers import _peers
from cowslipgate_entry.store import _claims
from cowslipgate_entry.store import _configuration_manager
from cowslipgate_entry.store import _patches
from cowslipgate_entry.store import _store
import cowslipgate_transport as transport

TICK_SECONDS = 0.1

_POLICIES = {
    "late_binding": core.LateBinding(),
    "least_completion": core.LeastCompletion(),
    "matching": core.Matching(),
    "round_robin": core.RoundRobin(),
}


def run_entry(settings: _settings.EntrySettings) -> None:
    """Run an entry until a signal stops it.

    A failed start writes one log line and exits with status 1.
    """
    clock = core.SystemClock()
    incarnation = core.make_incarnation(clock)
    logs = transport.Logs(
        settings.log_format, settings.log_level, {"entry": incarnation}
    )
    try:
        process = build_entry(settings, clock, incarnation, logs)
    except (OSError, zmq.ZMQError, core.CowslipgateError) as error:
        logs.write(_changes.StartFailed(type(error).__name__, str(error)))
        sys.exit(1)
    for change in find_unprotected(settings):
        logs.write(change)
    process.run()


def find_unprotected(
    settings: _settings.EntrySettings,
) -> list[_changes.AddressUnprotected]:
    """Return the addresses outside loopback that lack a key or token."""
    missing = (
        (
            settings.bind_internal,
            settings.curve_secret_key,
            "curve_secret_key",
        ),
        (settings.bind_http, settings.cluster_token, "cluster_token"),
    )
    return [
        _changes.AddressUnprotected(str(bind), core.name_flag(name))
        for bind, value, name in missing
        if not value and not ipaddress.ip_address(bind.host).is_loopback
    ]


def build_entry(
    settings: _settings.EntrySettings,
    clock: core.Clock,
    incarnation: int,
    logs: transport.Logs,
) -> _shutdown.EntryProcess:
    """Return the root component with all components registered.

    :raises SettingsError: when a setting needs a store that this entry lacks
    :raises zmq.ZMQError: when the internal address cannot be bound
    :raises OSError: when the HTTP address cannot be bound
    """
    if settings.keep_estimates == "on":
        # The table service returns single rows, not those of a table.
        allowed = "off with the table service"
        fault = core.SettingFault("--keep-estimates", "on", allowed)
        raise core.SettingsError((fault,))
    process = _shutdown.EntryProcess(clock, settings, logs)
    logs.register(process)
    poller = pollers.EPoll().register(process)
    server = _add_server(process, settings, clock)
    internal = _add_internal_socket(process, settings, poller)
    member = core.Member(
        incarnation,
        settings.advertise_internal or internal.endpoint,
        f"{settings.bind_http.host}:{server.port}",
        settings.domain,
        settings.region,
    )
    timing = core.Timing(
        inquiry_interval=settings.inquiry_interval,
        agent_suspect_after=settings.agent_suspect_after,
        agent_lost_after=settings.agent_lost_after,
    )
    ledger = core.Ledger(
        _POLICIES[settings.policy], member.incarnation, timing
    )
    dispatcher = _dispatcher.Dispatcher(ledger, member, clock)
    dispatcher.register(process)
    _add_observers(process, settings, dispatcher, member, server, clock)
    _cancellations.Cancellations(member, clock).register(process)
    _configuration_manager.ConfigurationManager(member, clock).register(
        process
    )
    _patches.Patches().register(process)
    _claims.Claims(member).register(process)
    balancer = _make_address(settings.balancer)
    _peers.Peers(member, balancer, clock, poller).register(process)
    _leases.Leases(member, dispatcher, clock).register(process)
    _store.Store(_make_address(settings.platform)).register(process)
    transport.HttpClient("store", poller, clock).register(process)
    token = {"Authorization": f"Bearer {settings.cluster_token}"}
    transport.HttpClient("discovery", poller, clock, token).register(process)
    transport.Timer(
        TICK_SECONDS,
        _events.tick(),
        "dispatcher",
        "peers",
        "leases",
        "configuration-manager",
        "cancellations",
        "state-change-log",
        "process",
        persist=True,
    ).register(process)
    return process


def _add_observers(
    process: _shutdown.EntryProcess,
    settings: _settings.EntrySettings,
    dispatcher: _dispatcher.Dispatcher,
    member: core.Member,
    server: transport.HttpServer,
    clock: core.Clock,
) -> None:
    _sender_check.SenderCheck().register(process)
    _state_change_log.StateChangeLog(dispatcher, member).register(process)
    metrics = _metrics.Metrics(dispatcher, server, clock).register(process)
    output = settings.trace_output
    if output:
        _add_traces(process, output, dispatcher, member, clock)
    sampler = _sampler.Sampler(settings.trace_ratio, bool(output))
    access = _gateway.Access(settings.operator_digest, settings.cluster_token)
    _job_responder.JobResponder(_job_responder.ApiAnswerCodec()).register(
        process
    )
    _gateway.Gateway(dispatcher, member, metrics, sampler, access).register(
        process
    )


def _add_traces(
    process: _shutdown.EntryProcess,
    output: str,
    dispatcher: _dispatcher.Dispatcher,
    member: core.Member,
    clock: core.Clock,
) -> None:
    # Imported here since the tracing library takes several megabytes.
    from cowslipgate_entry.observation import _traces

    exporter = _traces.open_exporter(output)
    _traces.Traces(dispatcher, exporter, member.incarnation, clock).register(
        process
    )


def _add_server(
    process: _shutdown.EntryProcess,
    settings: _settings.EntrySettings,
    clock: core.Clock,
) -> transport.HttpServer:
    limits = transport.ServerLimits(
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_connections,
        max_header_bytes=settings.max_header_bytes,
        max_headers=settings.max_headers,
        request_timeout=settings.request_timeout,
        send_timeout=settings.send_timeout,
        idle_timeout=settings.idle_timeout,
    )
    bind = (settings.bind_http.host, settings.bind_http.port)
    server = transport.HttpServer(bind, _gateway.CHANNEL, clock, limits)
    server.register(process)
    process.attach_server(server)
    return server


def _add_internal_socket(
    process: _shutdown.EntryProcess,
    settings: _settings.EntrySettings,
    poller: pollers.BasePoller,
) -> transport.MessageSocket:
    context = zmq.Context.instance()
    secret = settings.curve_secret_key
    if secret:
        public = transport.derive_public_key(secret)
        transport.apply_curve(context, transport.CurveKeys(secret, public))
        allowed = (public, *settings.curve_agent_keys)
        transport.KeyCheck(context, poller, allowed).register(process)
    router = transport.open_router(
        context, f"tcp://{settings.bind_internal}", bool(secret)
    )
    internal = transport.MessageSocket(_peers.INTERNAL_CHANNEL, poller, router)
    internal.register(process)
    return internal


def _make_address(bind: core.Bind) -> transport.Address:
    return transport.Address(bind.host, bind.port)
