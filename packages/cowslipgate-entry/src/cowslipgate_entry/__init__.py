"""The entry process and the commands of callers and operators.

Names are imported when they are used, so that a binary can choose what to
keep out of memory before anything else is imported.
"""

import importlib

_MODULES = {
    "AnswerCodec": "_desk",
    "Desk": "_desk",
    "Dispatcher": "_dispatcher",
    "EntryProcess": "_life",
    "EntrySettings": "_settings",
    "FollowedConfiguration": "_followed",
    "GATEWAY": "_events",
    "JobLog": "_job_log",
    "StoredMembers": "_stored_members",
    "submit_job": "_events",
    "Submission": "_requests",
    "tick": "_events",
    "Watch": "_watch",
    "RequestRefused": "_changes",
    "Metrics": "_metrics",
    "Screen": "_screen",
    "abandon_job": "_events",
}


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
