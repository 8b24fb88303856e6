"""Tests of settings, whose faults are reported together."""

import datetime

import attrs
import pytest

import cowslipgate_core as core


@attrs.frozen
class _Settings(core.CheckedSettings):
    """Settings of a fictitious process."""

    count: int = core.setting(core.parse_positive, "1 or more", "a count")
    bind: core.Bind = core.setting(
        core.parse_bind, "an address", "a place", "127.0.0.1:1"
    )
    token: str = core.setting(
        core.parse_curve_key, "a key", "a key", "", secret=True
    )

    def find_faults(self) -> list[core.SettingFault]:
        """Reject a count equal to the port."""
        if self.count == self.bind.port:
            return [core.SettingFault("--count", "1", "not the port")]
        return []


def test_flag_overrides_environment_variable() -> None:
    environ = {"COWSLIPGATE_COUNT": "3", "COWSLIPGATE_BIND": "10.0.0.1:5"}
    settings = core.load_settings(_Settings, {"count": "4"}, environ)
    assert settings.count == 4
    assert settings.bind == core.Bind("10.0.0.1", 5)


@pytest.mark.parametrize(
    ("flags", "expected"),
    [
        ({}, ["--count=''"]),
        ({"count": "0"}, ["--count='0'"]),
        ({"count": "x", "bind": "h:1"}, ["--count='x'", "--bind='h:1'"]),
        ({"count": "2", "bind": "999.1.1.1:1"}, ["--bind='999.1.1.1:1'"]),
        ({"count": "2", "bind": "1.1.1.1:-1"}, ["--bind='1.1.1.1:-1'"]),
        ({"count": "2", "token": "secret"}, ["--token='(hidden)'"]),
        ({"count": "1"}, ["--count='1': must be not the port"]),
    ],
)
def test_all_faults_are_reported_together(
    flags: dict[str, str], expected: list[str]
) -> None:
    with pytest.raises(core.SettingsError) as caught:
        core.load_settings(_Settings, flags, {})
    lines = str(caught.value).splitlines()
    assert len(lines) == len(expected)
    for line, start in zip(lines, expected, strict=True):
        assert line.startswith(start)
    assert "secret" not in str(caught.value)


def test_descriptions_contain_flag_variable_and_default() -> None:
    described = core.describe_settings(_Settings)
    assert [setting.default for setting in described] == [
        None,
        "127.0.0.1:1",
        "",
    ]
    assert described[0].flag == "--count"
    assert described[0].variable == "COWSLIPGATE_COUNT"


@pytest.mark.parametrize(
    ("text", "seconds"), [("500ms", 0.5), ("2s", 2), ("1m", 60), ("1h", 3600)]
)
def test_durations_are_parsed(text: str, seconds: float) -> None:
    expected = datetime.timedelta(seconds=seconds)
    assert core.parse_duration(text) == expected
