"""The agent, a process beside each target.

Public names are imported on first use, so that a program can exclude unused
modules before anything else is imported.
"""

import importlib

_MODULES = {
    "AgentLog": "_agent_log",
    "AgentProcess": "_process",
    "AgentSettings": "_settings",
    "build_agent": "_process",
    "LeasedCalls": "_leased_calls",
    "Evacuation": "_evacuation",
    "EvacuationFollower": "_evacuation_follower",
    "Links": "_links",
    "Relay": "_relay",
    "Runner": "_runner",
    "RuntimeCodec": "_runtimes",
    "RuntimeRequest": "_runtimes",
    "StartAnswer": "_runtimes",
    "StopAnswer": "_runtimes",
    "discover_entries": "_events",
    "TableDiscovery": "_table_discovery",
    "TargetHeartbeat": "_leased_calls",
    "target_ended": "_events",
    "target_heartbeat_received": "_events",
    "target_message_invalid": "_events",
    "tick": "_events",
}


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
