"""Assembly and shutdown of the agent process."""

import circuits
from circuits.core import pollers
import zmq

from cowslipgate_agent import _announcements
from cowslipgate_agent import _discovery
from cowslipgate_agent import _events
from cowslipgate_agent import _links
from cowslipgate_agent import _runner
from cowslipgate_agent import _settings
from cowslipgate_agent import _target_calls
import cowslipgate_core as core
import cowslipgate_transport as transport

TICK_SECONDS = 0.1
"""Interval at which components check their deadlines."""


class drain(circuits.Event):
    """Request to accept no more work and to stop once idle."""


class AgentProcess(transport.Process):
    """Root component of the agent, which drains and exits on a signal."""

    channel = "process"

    @circuits.handler("signal", channel="*")
    def _on_signal(self, event: circuits.Event, *arguments: object) -> None:
        event.stop()
        self.fire(drain(), "runner")

    @circuits.handler("agent_drained")
    def _on_agent_drained(self) -> None:
        raise SystemExit(0)


def build_agent(
    settings: _settings.AgentSettings, clock: core.Clock
) -> AgentProcess:
    """Return the agent, ready to run.

    :raises OSError: when ``bind_target`` cannot be bound
    """
    process = AgentProcess()
    poller = pollers.EPoll().register(process)
    if settings.curve_secret_key:
        keys = transport.CurveKeys(
            settings.curve_secret_key, settings.curve_entry_key
        )
        transport.apply_curve(zmq.Context.instance(), keys)
    incarnation = core.make_incarnation(clock)
    executor = core.Executor(
        incarnation, settings.queue_limit, settings.entry_lost_after
    )
    bind = (settings.bind_target.host, settings.bind_target.port)
    transport.HttpServer(
        bind, _announcements.CHANNEL, clock, transport.ServerLimits()
    ).register(process)
    transport.HttpClient(_target_calls.CHANNEL, poller, clock).register(
        process
    )
    token = {"Authorization": f"Bearer {settings.cluster_token}"}
    transport.HttpClient("discovery", poller, clock, token).register(process)
    balancer = transport.Address(
        settings.balancer.host, settings.balancer.port
    )
    _discovery.BalancerDiscovery(balancer).register(process)
    _announcements.Announcements().register(process)
    _target_calls.TargetCalls(clock, settings.task_timeout).register(process)
    _runner.Runner(executor, clock, settings.target_lapse).register(process)
    _links.Links(settings, executor, incarnation, clock, poller).register(
        process
    )
    transport.Timer(
        TICK_SECONDS,
        _events.tick(),
        _runner.CHANNEL,
        _links.CHANNEL,
        persist=True,
    ).register(process)
    return process
