"""Tests of an entry's start and of its settings."""

import json

import pytest

import cowslipgate_core as core
from cowslipgate_entry import _process
from cowslipgate_entry import _settings

REQUIRED_SETTINGS = {
    "domain": "ruwi",
    "platform": "127.0.0.1:1",
    "balancer": "127.0.0.1:1",
    "bind_http": "127.0.0.1:0",
    "bind_internal": "127.0.0.1:0",
    "log_format": "json",
}


def _load(**changes: str) -> _settings.EntrySettings:
    return core.load_settings(
        _settings.EntrySettings, REQUIRED_SETTINGS | changes, {}
    )


def test_broken_chart_stops_the_start_with_one_log_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def load_chart(name: str) -> core.Chart:
        raise core.ChartError(name, "serving", "drain", "no such state")

    monkeypatch.setattr(core, "load_chart", load_chart)
    with pytest.raises(SystemExit) as caught:
        _process.run_entry(_load())
    assert caught.value.code == 1
    (line,) = capsys.readouterr().err.splitlines()
    record = json.loads(line)
    assert record["event"] == "StartFailed"
    for part in ("entry", "serving", "drain"):
        assert repr(part) in record["problem"]


@pytest.mark.parametrize(
    ("changes", "missing"),
    [
        ({}, []),
        ({"bind_http": "10.0.0.1:1"}, ["--cluster-token"]),
        ({"bind_http": "10.0.0.1:1", "cluster_token": "t"}, []),
        ({"bind_internal": "10.0.0.1:1"}, ["--curve-secret-key"]),
        ({"bind_internal": "10.0.0.1:1", "curve_secret_key": "k" * 40}, []),
        (
            {"bind_internal": "0.0.0.0:1", "bind_http": "0.0.0.0:2"},
            ["--curve-secret-key", "--cluster-token"],
        ),
    ],
)
def test_open_addresses_without_keys_are_found(
    changes: dict[str, str], missing: list[str]
) -> None:
    found = _process.find_unprotected(_load(**changes))
    assert [change.missing for change in found] == missing


@pytest.mark.parametrize(
    ("changes", "flag"),
    [
        (
            {"bind_http": "127.0.0.1:5", "bind_internal": "127.0.0.1:5"},
            "--bind-internal",
        ),
        ({"curve_agent_keys": "k" * 40}, "--curve-secret-key"),
        ({"drain_delay": "60s"}, "--drain-delay"),
        ({"max_header_bytes": "9", "max_body_bytes": "8"}, "--max-header"),
    ],
)
def test_settings_that_contradict_each_other_are_refused(
    changes: dict[str, str], flag: str
) -> None:
    with pytest.raises(core.SettingsError) as caught:
        _load(**changes)
    assert str(caught.value).startswith(flag)
