"""The entry process and the commands of callers and operators.

Names are imported on first use, so that a program can exclude modules, to
save memory, before they are imported.
"""

import importlib

_MODULES = {
    "AnswerCodec": "callers._job_responder",
    "JobResponder": "callers._job_responder",
    "Dispatcher": "agents._dispatcher",
    "HeldRequests": "callers._held_requests",
    "EntryProcess": "_shutdown",
    "Evacuations": "agents._evacuations",
    "IgnoredEvacuations": "agents._evacuations",
    "EntrySettings": "_settings",
    "ConfigurationFollower": "store._configuration_follower",
    "GATEWAY": "_events",
    "JobLog": "observation._job_log",
    "ConfigurationRelay": "store._configuration_relay",
    "RENEW_INTERVAL": "peers._stored_members",
    "StoredEstimates": "store._stored_estimates",
    "StoredMembers": "peers._stored_members",
    "stop_at": "_events",
    "submit_job": "_events",
    "Submission": "callers._requests",
    "tick": "_events",
    "StateChangeLog": "observation._state_change_log",
    "RequestRefused": "observation._changes",
    "Metrics": "observation._metrics",
    "SenderCheck": "agents._sender_check",
    "abandon_job": "_events",
    "ENTRY_CALLS": "callers._requested_jobs",
    "Inquiry": "callers._requests",
    "JobState": "callers._requests",
    "RequestedJobs": "callers._requested_jobs",
    "StoredCancellations": "store._stored_cancellations",
    "inquire": "_events",
    "inquiry_answered": "_events",
}


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
