"""Tests of placeholders for modules that the programs never use."""

import linecache
import subprocess
import sys

import cowslipgate_startup as startup
import pytest

_PROGRAM = """
import importlib
import sys

import cowslipgate_startup as startup

startup.exclude_unused()
for name in sys.argv[1:]:
    importlib.import_module(name)
print(*sorted(sys.modules), sep="\\n")
"""


_COMPONENT = """
import os

import cowslipgate_startup as startup

startup.exclude_unused()
import circuits

print(os.getpid(), repr(circuits.BaseComponent()))
"""


def _list_loaded(*names: str) -> set[str]:
    command = [sys.executable, "-c", _PROGRAM, *names]
    done = subprocess.run(command, capture_output=True, check=True)
    return set(done.stdout.decode().split())


def test_libraries_load_without_unused_modules() -> None:
    names = (
        "circuits",
        "cowslipgate_transport",
        "logbook",
        "msgspec",
        "opentelemetry.sdk.trace",
    )
    loaded = _list_loaded(*names)
    unused = {
        "_decimal",
        "_hashlib",
        "_ssl",
        "circuits.web.servers",
        "importlib.metadata",
        "logbook._speedups",
        "multiprocessing.process",
        "_pickle",
        "psutil",
        "tempfile",
    }
    # None in sys.modules prevents the import of a module.
    assert loaded & unused == {"_hashlib", "logbook._speedups", "psutil"}


def test_component_names_contain_the_process_id() -> None:
    command = [sys.executable, "-c", _COMPONENT]
    done = subprocess.run(command, capture_output=True, check=True)
    pid, _, name = done.stdout.decode().partition(" ")
    assert f" {pid}:" in name


@pytest.mark.parametrize("name", ["SSLError", "Decimal"])
def test_an_unused_module_has_every_attribute(name: str) -> None:
    module = startup.UnusedModule("unused")
    assert getattr(module, name) is getattr(module, name)


def test_a_placeholder_has_every_attribute() -> None:
    purpose = startup.UnusedModule("unused").Purpose
    assert purpose.SERVER_AUTH is purpose.SERVER_AUTH


def test_a_placeholder_catches_no_other_error() -> None:
    module = startup.UnusedModule("unused")
    with pytest.raises(KeyError):
        try:
            raise KeyError
        except module.SSLError:
            pass


def test_no_value_is_an_instance_of_a_placeholder() -> None:
    assert not isinstance(1, startup.UnusedModule("unused").Decimal)


@pytest.mark.parametrize("name", ["__path__", "__wrapped__"])
def test_special_attributes_are_missing(name: str) -> None:
    module = startup.UnusedModule("unused")
    assert not hasattr(module, name)
    assert not hasattr(module.Purpose, name)


def test_sources_of_generated_methods_are_cleared(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kept = {"<attrs generated init>": (1, None, ["x\n"], "x")}
    monkeypatch.setattr(linecache, "cache", kept)
    startup.clear_generated_sources()
    assert not kept
