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
    ],
)
def test_every_fault_is_reported_with_its_path(
    document: object, paths: list[str]
) -> None:
    with pytest.raises(core.ConfigurationError) as raised:
        core.parse_configuration(1, document)
    assert [fault.path for fault in raised.value.faults] == paths


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
