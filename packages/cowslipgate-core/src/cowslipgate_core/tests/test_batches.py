"""Tests of the splitting of orders and reports into batches."""

import pytest

import cowslipgate_core as core

FULL = core.MAX_BATCH_BYTES


@pytest.mark.parametrize(
    ("sizes", "expected"),
    [
        ([0], [1]),
        ([1, 1, 1], [3]),
        ([FULL], [1]),
        ([FULL, 1], [1, 1]),
        ([FULL + 5, FULL + 5], [1, 1]),
        ([1, FULL, 1], [1, 1, 1]),
        ([FULL // 2, FULL // 2, 1], [2, 1]),
    ],
)
def test_batches_preserve_order_and_respect_the_size_limit(
    sizes: list[int], expected: list[int]
) -> None:
    orders = tuple(
        core.Order(number, "t", "", bytes(size))
        for number, size in enumerate(sizes)
    )
    batches = list(core.split_orders(orders))
    assert [len(batch) for batch in batches] == expected
    assert sum(batches, ()) == orders
    reports = tuple(
        core.AttemptReport(n, core.Outcome.FINISHED, result=bytes(size))
        for n, size in enumerate(sizes)
    )
    parts = list(core.split_reports(reports))
    assert [len(part) for part in parts] == expected
    assert sum(parts, ()) == reports
