"""Keeps out of memory what libraries import but the binaries never use.

The binaries speak plain HTTP, hash short texts and start no processes, so
they need neither OpenSSL nor the rest of what circuits imports.
"""

import importlib.util
import linecache
import os
import sys
import types

_UNUSED = (
    # Links between processes that circuits starts.
    "circuits.core.bridge",
    "circuits.core.workers",
    # Forms, which neither binary accepts.
    "circuits.web.parsers.multipart",
    # A type that msgspec knows and no message has.
    "decimal",
    # Tables for unescaping HTML, of which only escaping is used.
    "html.entities",
    # Python objects as messages, which pyzmq offers.
    "pickle",
    "ssl",
)
# Modules that the importing library can do without.
_OPTIONAL = ("_hashlib", "logbook._speedups", "psutil")


class _Placeholder(type):
    """Makes classes that have every attribute, again such a class."""

    def __getattr__(cls, name: str) -> type:
        return _make_placeholder(cls, name)


class UnusedModule(types.ModuleType):
    """Stands in for a module of which only names are looked up."""

    def __getattr__(self, name: str) -> type:
        """Return a class, so that ``except`` and ``isinstance`` accept it."""
        return _make_placeholder(self, name)


def _make_placeholder(owner: type | types.ModuleType, name: str) -> type:
    if name.startswith("__"):
        raise AttributeError(name)
    placeholder = _Placeholder(name, (Exception,), {})
    setattr(owner, name, placeholder)
    return placeholder


def exclude_unused() -> None:
    """Exclude the modules; call it before anything else is imported."""
    for name in _UNUSED:
        sys.modules[name] = UnusedModule(name)
    for name in _OPTIONAL:
        sys.modules[name] = None
    sys.modules["multiprocessing"] = _make_multiprocessing()
    sys.modules["pkg_resources"] = _make_pkg_resources()
    _import_as_folder("circuits", "web")


def forget_sources() -> None:
    """Drop the sources of generated methods, which attrs keeps.

    Only the source lines in tracebacks need them.
    """
    linecache.clearcache()


def _make_multiprocessing() -> types.ModuleType:
    # circuits prints the number of the process in the names of components.
    process = types.SimpleNamespace(pid=os.getpid())
    module = UnusedModule("multiprocessing")
    module.current_process = lambda: process
    return module


def _make_pkg_resources() -> types.ModuleType:
    # circuits reads the metadata of its distribution when this is missing.
    module = types.ModuleType("pkg_resources")
    module.declare_namespace = lambda name: None
    return module


def _import_as_folder(parent: str, child: str) -> None:
    # The submodules are importable, but the package imports none of them.
    spec = importlib.util.find_spec(parent)
    folders = spec.submodule_search_locations
    package = types.ModuleType(f"{parent}.{child}")
    package.__path__ = [f"{folder}/{child}" for folder in folders]
    sys.modules[package.__name__] = package
