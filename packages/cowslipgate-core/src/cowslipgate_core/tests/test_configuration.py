"""Tests of configuration documents and merge patches."""

import cowslipgate_core as core
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

_JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=3),
    lambda inner: strategies.dictionaries(
        strategies.sampled_from("abc"), inner, max_size=3
    ),
    max_leaves=8,
)


@pytest.mark.parametrize(
    ("document", "paths"),
    [
        ([], ["$"]),
        ({"service": {}}, ["$.service"]),
        ({"services": {"a": 1}}, ["$.services.a"]),
        (
            {
                "services": {"a": {"max_tasks": 0, "colour": 1}},
                "teams": {"t": {"token_digests": ["x"]}},
            },
            [
                "$.services.a.max_tasks",
                "$.services.a.colour",
                "$.teams.t.token_digests",
            ],
        ),
        (
            {
                "services": {"a": {"admission": "guess"}},
                "routes": {
                    "low": {"service": "a", "share": -0.1},
                    "high": {"service": "a", "share": 1.1},
                },
            },
            [
                "$.services.a.admission",
                "$.routes.low.share",
                "$.routes.high.share",
            ],
        ),
        # The shares of one service sum to more than 1.
        (
            {
                "routes": {
                    "r1": {"service": "a", "share": 0.6},
                    "r2": {"service": "a", "share": 0.5},
                    "r3": {"service": "b", "share": 0.6},
                    "r4": {"service": "a"},
                },
            },
            ["$.routes.r1.share", "$.routes.r2.share"],
        ),
    ],
)
def test_every_fault_is_reported_with_its_path(
    document: object, paths: list[str]
) -> None:
    with pytest.raises(core.ConfigurationError) as raised:
        core.parse_configuration(1, document)
    assert [fault.path for fault in raised.value.faults] == paths


# Guards against shares that are refused since binary fractions are inexact.
def test_shares_that_sum_to_one_are_accepted() -> None:
    routes = {f"r{n}": {"service": "a", "share": 0.1} for n in range(10)}
    document = core.parse_configuration(1, {"routes": routes}).document
    assert document.routes["r3"].share == 0.1


def test_admission_is_by_deadline_unless_configured() -> None:
    raw = {"services": {"a": {}, "b": {"admission": "forecast"}}}
    services = core.parse_configuration(1, raw).document.services
    assert services["a"].admission is core.Admission.DEADLINE
    assert services["b"].admission is core.Admission.FORECAST


@settings(derandomize=True, database=None)
@given(_JSON, _JSON)
def test_merge_patch_removes_every_null(
    document: object, patch: object
) -> None:
    merged = core.merge_patch(document, patch)
    if isinstance(patch, dict):
        removed = {key for key, value in patch.items() if value is None}
        assert not removed & set(merged)
        kept = set(document) if isinstance(document, dict) else set()
        assert set(merged) == (kept | set(patch)) - removed
    else:
        assert merged == patch
