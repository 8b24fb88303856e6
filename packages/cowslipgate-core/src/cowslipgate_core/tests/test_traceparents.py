"""Tests of W3C ``traceparent`` headers."""

import pytest

import cowslipgate_core as core

TRACE = "0af7651916cd43dd8448eb211c80319c"
SPAN = "b7ad6b7169203331"


@pytest.mark.parametrize(
    ("text", "valid"),
    [
        (f"00-{TRACE}-{SPAN}-01", True),
        (f"00-{TRACE}-{SPAN}-00", True),
        (f"ff-{TRACE}-{SPAN}-01", False),
        (f"00-{'0' * 32}-{SPAN}-01", False),
        (f"00-{TRACE}-{'0' * 16}-01", False),
        (f"00-{TRACE.upper()}-{SPAN}-01", False),
        ("nonsense", False),
        ("", False),
    ],
)
def test_only_valid_contexts_are_parsed(text: str, valid: bool) -> None:
    parsed = core.parse_traceparent(text)
    assert (parsed is not None) is valid
    if valid:
        assert str(parsed) == text


def test_each_sampled_task_gets_a_new_span() -> None:
    first = core.derive_traceparent(f"00-{TRACE}-{SPAN}-01", "job.0.1")
    second = core.derive_traceparent(f"00-{TRACE}-{SPAN}-01", "job.1.2")
    assert first.startswith(f"00-{TRACE}-") and first.endswith("-01")
    assert len({first, second, f"00-{TRACE}-{SPAN}-01"}) == 3


@pytest.mark.parametrize("text", ["", f"00-{TRACE}-{SPAN}-00"])
def test_unsampled_context_is_passed_on_unchanged(text: str) -> None:
    assert core.derive_traceparent(text, "job.0.1") == text
