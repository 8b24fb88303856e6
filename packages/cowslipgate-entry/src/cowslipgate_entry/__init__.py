"""The entry process and the commands of callers and operators.

Names are imported when they are used, so that the binary can choose what to
keep out of memory before anything else is imported.
"""

import importlib

_MODULES = {"EntrySettings": "_settings"}


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
