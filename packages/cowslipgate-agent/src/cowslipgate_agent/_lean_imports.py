"""Keeps out of memory what the agent's libraries import but it never uses.

circuits imports ``ssl`` and all of ``circuits.web``, and ``hashlib`` imports
OpenSSL, which together weigh more than a fifth of the agent's limit. The
agent speaks plain HTTP on loopback and hashes with the built-in functions.
"""

import importlib.util
import sys
import types


class UnusedModule(types.ModuleType):
    """Stands in for a module of which only names are looked up."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        return UnusedModule(name)


def exclude_unused() -> None:
    """Exclude the modules; call it before anything else is imported."""
    sys.modules["ssl"] = UnusedModule("ssl")
    # Without it hashlib falls back to its built-in functions.
    sys.modules["_hashlib"] = None
    _import_as_folder("circuits", "web")


def _import_as_folder(parent: str, child: str) -> None:
    # The submodules are importable, but the package imports none of them.
    spec = importlib.util.find_spec(parent)
    folders = spec.submodule_search_locations
    package = types.ModuleType(f"{parent}.{child}")
    package.__path__ = [f"{folder}/{child}" for folder in folders]
    sys.modules[package.__name__] = package
