"""Splitting of orders and reports into messages of bounded size."""

from collections.abc import Iterator

from cowslipgate_core.messages import _attempts

MAX_BATCH_BYTES = 4_194_304
MAX_RESULT_BYTES = 8_388_608


def split_orders(
    orders: tuple[_attempts.Order, ...],
) -> Iterator[tuple[_attempts.Order, ...]]:
    """Return the orders in batches of at most MAX_BATCH_BYTES of payload.

    A larger order is sent in a batch of its own.
    """
    sizes = [len(order.payload) for order in orders]
    return (orders[start:end] for start, end in _split(sizes))


def split_reports(
    reports: tuple[_attempts.AttemptReport, ...],
) -> Iterator[tuple[_attempts.AttemptReport, ...]]:
    """Return the reports in batches of at most MAX_BATCH_BYTES of results.

    A larger report is sent in a batch of its own.
    """
    sizes = [len(report.result) for report in reports]
    return (reports[start:end] for start, end in _split(sizes))


def _split(sizes: list[int]) -> Iterator[tuple[int, int]]:
    start = 0
    total = 0
    for index, size in enumerate(sizes):
        if total + size > MAX_BATCH_BYTES and index > start:
            yield start, index
            start = index
            total = 0
        total += size
    yield start, len(sizes)
