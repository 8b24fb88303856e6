"""Tests of the division of slots under arbitrary interleavings."""

import datetime

import cowslipgate_core as core
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from cowslipgate_core.tests import builders

TEAM = "hall"
ENTRIES = 3


class Row:
    """The lease row, written by compare-and-set."""

    def __init__(self) -> None:
        self.revision = 0
        self.shares: dict[int, dict[str, core.Share]] = {}

    def write(
        self, entry: int, revision: int, shares: dict[str, core.Share]
    ) -> bool:
        """Store shares if the revision is current; return whether it is."""
        if revision != self.revision:
            return False
        self.shares[entry] = shares
        self.revision += 1
        return True


class Entry:
    """An entry with its quota shares, demand and active tasks."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.quota_shares = core.QuotaShares()
        self.demand = 0
        self.active = 0
        self.writing: tuple[int, dict[str, core.Share]] | None = None

    def start_tasks(self) -> None:
        """Start as many tasks as limit and demand allow."""
        limit = self.quota_shares.limits.get(TEAM, 0)
        self.active = max(self.active, min(limit, self.demand))

    def end_tasks(self, count: int) -> None:
        """End up to ``count`` active tasks."""
        self.active = max(0, self.active - count)

    def read(self, row: Row, quota: int) -> None:
        """Read the row and prepare a write."""
        others = [s for n, s in row.shares.items() if n != self.number]
        shares = self.quota_shares.plan(
            {TEAM: quota},
            row.shares.get(self.number, {}),
            tuple(others),
            {TEAM: self.demand},
            {TEAM: self.active},
        )
        self.writing = (row.revision, shares)

    def write(self, row: Row, answer_lost: bool) -> None:
        """Write the prepared shares; handle the answer unless it is lost."""
        if self.writing is None:
            return
        stored = row.write(self.number, *self.writing)
        if stored and not answer_lost:
            self.quota_shares.confirm()
        if not answer_lost:
            self.writing = None


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["demand", "read", "write", "lose", "start", "end"]
        ),
        strategies.integers(0, ENTRIES - 1),
        strategies.integers(0, 30),
    ),
    max_size=120,
)


def _step(
    row: Row, entry: Entry, action: str, amount: int, quota: int
) -> None:
    match action:
        case "demand":
            entry.demand = amount
        case "read":
            entry.read(row, quota)
        case "write" | "lose":
            entry.write(row, action == "lose")
        case "start":
            entry.start_tasks()
        case "end":
            entry.end_tasks(amount)


@settings(derandomize=True, database=None, max_examples=400)
@given(strategies.integers(1, 20), _STEPS)
def test_slots_in_use_never_exceed_the_quota(
    quota: int, steps: list[tuple[str, int, int]]
) -> None:
    row = Row()
    entries = [Entry(number) for number in range(ENTRIES)]
    for action, number, amount in steps:
        _step(row, entries[number], action, amount, quota)
        limits = sum(e.quota_shares.limits.get(TEAM, 0) for e in entries)
        assert limits <= quota
        assert sum(entry.active for entry in entries) <= quota


@pytest.mark.parametrize(
    ("quota", "demands", "expected"),
    [
        (12, [0, 0, 0], [4, 4, 4]),
        (12, [50, 0, 0], [8, 2, 2]),
        (12, [50, 50, 50], [4, 4, 4]),
        (12, [2, 50, 50], [2, 5, 5]),
        (3, [9, 0, 0], [1, 1, 1]),
        (1, [1, 0, 0], [1, 0, 0]),
        (2, [9, 9, 9], [0, 1, 1]),
    ],
)
def test_division_converges_to_demand(
    quota: int, demands: list[int], expected: list[int]
) -> None:
    row = Row()
    entries = [Entry(number) for number in range(ENTRIES)]
    for entry, demand in zip(entries, demands, strict=True):
        entry.demand = demand
    for _ in range(4):
        for entry in entries:
            entry.read(row, quota)
            entry.write(row, answer_lost=False)
    limits = [entry.quota_shares.limits[TEAM] for entry in entries]
    assert sum(limits) <= quota
    assert sorted(limits) == sorted(expected)


def test_entry_releases_slots_that_another_entry_demands() -> None:
    row = Row()
    holder, other = Entry(0), Entry(1)
    holder.demand = 100
    for entry in (holder, other, holder):
        entry.read(row, 12)
        entry.write(row, answer_lost=False)
    holder.start_tasks()
    other.demand = 100
    for _ in range(12):
        for entry in (other, holder):
            entry.end_tasks(1)
            entry.start_tasks()
            entry.read(row, 12)
            entry.write(row, answer_lost=False)
    assert holder.quota_shares.limits == other.quota_shares.limits == {TEAM: 6}


def test_lease_is_abandoned_long_after_its_last_renewal() -> None:
    detector = core.LeaseExpiryDetector()
    member = core.Member(1, "tcp://127.0.0.1:1", "127.0.0.1:2", "seeb")
    lease = core.Lease(member, 1)
    now = builders.NOW
    detector.filter_live((lease,), now)
    now += core.LEASE_ABANDONED_AFTER
    assert detector.list_abandoned((lease,), now) == ()
    now += datetime.timedelta(seconds=1)
    assert detector.list_abandoned((lease,), now) == (lease,)
    renewed = core.Lease(member, 2)
    detector.filter_live((renewed,), now)
    assert detector.list_abandoned((renewed,), now) == ()


def test_lease_expires_by_the_reader_clock_only() -> None:
    detector = core.LeaseExpiryDetector()
    member = core.Member(1, "tcp://127.0.0.1:1", "127.0.0.1:2", "seeb")
    lease = core.Lease(member, 1)
    now = builders.NOW
    assert detector.filter_live((lease,), now) == (lease,)
    now += core.LEASE_EXPIRES_AFTER
    assert detector.filter_live((lease,), now) == (lease,)
    now += datetime.timedelta(seconds=1)
    assert detector.filter_live((lease,), now) == ()
    renewed = core.Lease(member, 2)
    assert detector.filter_live((renewed,), now) == (renewed,)
