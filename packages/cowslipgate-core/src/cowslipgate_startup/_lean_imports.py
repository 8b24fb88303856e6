"""Exclusion of modules that libraries import and the programs never use.

This saves memory. The programs use plain HTTP, hash short texts and start no
processes, so they need neither OpenSSL nor many modules that circuits imports.
"""

import importlib.util
import linecache
import os
import sys
import types

_UNUSED = (
    # Communication with subprocesses that circuits starts.
    "circuits.core.bridge",
    "circuits.core.workers",
    # HTML forms, which no program accepts.
    "circuits.web.parsers.multipart",
    # A type that msgspec supports and no message contains.
    "decimal",
    # Tables for unescaping HTML; only escaping is used.
    "html.entities",
    # Serialization of Python objects by pyzmq, which is not used.
    "pickle",
    "ssl",
)
# Modules whose absence the importing library handles.
_OPTIONAL = ("_hashlib", "logbook._speedups", "psutil")


class _Placeholder(type):
    """Metaclass whose classes have every attribute, each a placeholder."""

    def __getattr__(cls, name: str) -> type:
        return _make_placeholder(cls, name)


class UnusedModule(types.ModuleType):
    """Placeholder for a module whose attributes are only looked up."""

    def __getattr__(self, name: str) -> type:
        """Return a class, which ``except`` and ``isinstance`` accept."""
        return _make_placeholder(self, name)


def _make_placeholder(owner: type | types.ModuleType, name: str) -> type:
    if name.startswith("__"):
        raise AttributeError(name)
    placeholder = _Placeholder(name, (Exception,), {})
    setattr(owner, name, placeholder)
    return placeholder


def exclude_unused() -> None:
    """Replace unused modules; to be called before any other import."""
    for name in _UNUSED:
        sys.modules[name] = UnusedModule(name)
    for name in _OPTIONAL:
        sys.modules[name] = None
    sys.modules["multiprocessing"] = _make_multiprocessing()
    sys.modules["pkg_resources"] = _make_pkg_resources()
    _register_bare_package("circuits", "web")


def clear_generated_sources() -> None:
    """Clear the source lines of generated methods, which attrs caches.

    Only tracebacks use them.
    """
    linecache.clearcache()


def _make_multiprocessing() -> types.ModuleType:
    # circuits includes the process id in the names of components.
    process = types.SimpleNamespace(pid=os.getpid())
    module = UnusedModule("multiprocessing")
    module.current_process = lambda: process
    return module


def _make_pkg_resources() -> types.ModuleType:
    # Without this module circuits reads the metadata of its distribution.
    module = types.ModuleType("pkg_resources")
    module.declare_namespace = lambda name: None
    return module


def _register_bare_package(parent: str, child: str) -> None:
    # Without its __init__, the package imports no submodules by itself; each
    # can still be imported.
    spec = importlib.util.find_spec(parent)
    locations = spec.submodule_search_locations
    package = types.ModuleType(f"{parent}.{child}")
    package.__path__ = [f"{location}/{child}" for location in locations]
    sys.modules[package.__name__] = package
