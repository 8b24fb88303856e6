"""Tests of estimates that an entry reads from the store and writes there.

Failures: all entries restart at once, the store is down, refuses, or returns
rows that other programs wrote.
"""

import datetime

import circuits
import pytest

import cowslipgate_core as core
from cowslipgate_entry import _events
from cowslipgate_entry.agents import _dispatcher
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.observation import _metrics
from cowslipgate_entry.store import _stored_estimates
import cowslipgate_transport as transport

CHANNEL = _stored_estimates.CHANNEL
FAR = core.Member(2, "tcp://127.0.0.2:1", "127.0.0.2:2", "seeb")


def _make_member(number: int) -> core.Member:
    address = f"tcp://127.0.0.{number}:1"
    return core.Member(number, address, f"127.0.0.{number}:2", "ruwi")


class _Server:
    connections = 0


class _Harness(circuits.BaseComponent):
    """An entry's estimates, its calls of the store and its log."""

    channel = "harness"

    def __init__(self, number: int = 3) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.calls: list[core.TableCall] = []
        self.changes: list[transport.Change] = []
        ledger = core.Ledger(core.Matching())
        self.estimates = ledger.estimates
        self.member = _make_member(number)
        dispatcher = _dispatcher.Dispatcher(ledger, self.member, self.clock)
        self.metrics = _metrics.Metrics(dispatcher, _Server(), self.clock)
        self.metrics.register(self)
        _stored_estimates.StoredEstimates(
            dispatcher, self.member, self.clock
        ).register(self)
        self.tell_members(FAR)
        self.pass_time(0)

    @circuits.handler("call_table", channel="store")
    def _on_call_table(self, call: core.TableCall) -> None:
        self.calls.append(call)

    @circuits.handler("changed", channel="logs")
    def _on_changed(self, change: transport.Change) -> None:
        self.changes.append(change)

    def send(self, event: circuits.Event, *channels: str) -> None:
        """Fire an event and process events until none is queued."""
        self.fire(event, *channels)
        while len(self):
            self.flush()

    def tell_members(self, *others: core.Member) -> None:
        """Announce the live entries."""
        event = _events.members_changed((self.member, *others))
        self.send(event, "dispatcher", _events.GATEWAY)

    def answer(
        self,
        *rows: core.TableRow,
        result: core.TableResult = core.TableResult.DONE,
    ) -> None:
        """Answer the last call."""
        answer = core.TableAnswer(self.calls[-1], result, rows)
        self.send(transport.table_answered(answer), CHANNEL)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and fire a tick."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self.send(_events.tick(), CHANNEL)

    def learn(self, runs: int = 50) -> None:
        """Observe runs of two targets, one five times as fast."""
        for _ in range(runs):
            self.estimates.observe("agent-1", "hall", "tag", 100, 100)
            self.estimates.observe("agent-2", "hall", "tag", 100, 500)

    def list_writes(self) -> list[core.TableWrite]:
        """Return the writes so far."""
        return [c for c in self.calls if isinstance(c, core.TableWrite)]


@pytest.fixture
def harness() -> _Harness:
    """Return a harness whose read of the table is unanswered."""
    return _Harness()


def _make_row(harness: _Harness) -> core.TableRow:
    write = harness.list_writes()[-1]
    return core.TableRow(write.key, write.value, 1)


def test_entries_that_all_restart_use_what_was_written(
    harness: _Harness,
) -> None:
    harness.answer()
    harness.learn()
    harness.pass_time(5)
    (write,) = harness.list_writes()
    assert (write.table, write.key) == ("estimates", "ruwi")
    again = _Harness()
    again.answer(_make_row(harness))
    before, after = harness.estimates, again.estimates
    ratio = after.get_speed("agent-1") / after.get_speed("agent-2")
    assert ratio > 0.7 * (
        before.get_speed("agent-1") / before.get_speed("agent-2")
    )
    assert after.estimate_size("hall", "tag", 100).confidence > 0.9
    (restored,) = again.changes
    assert isinstance(restored, _changes.EstimatesRestored)
    assert (restored.rows, restored.speeds) == (1, 2)


def test_snapshot_is_written_only_after_the_read(harness: _Harness) -> None:
    """Otherwise a new entry would replace what the others have learned."""
    harness.learn()
    harness.pass_time(5)
    harness.pass_time(5)
    assert not harness.list_writes()
    harness.answer()
    harness.pass_time(5)
    assert len(harness.list_writes()) == 1


def test_snapshot_is_written_every_5_s_if_it_has_changed(
    harness: _Harness,
) -> None:
    harness.answer()
    for learned, writes in ((1, 1), (0, 1), (1, 2)):
        harness.learn(learned)
        harness.pass_time(4.9)
        harness.pass_time(0.1)
        assert len(harness.list_writes()) == writes
        harness.answer()


@pytest.mark.parametrize(
    ("others", "writes"),
    [
        pytest.param((), 0, id="one failure domain"),
        pytest.param((_make_member(4),), 0, id="one domain, two entries"),
        pytest.param((FAR, _make_member(4)), 1, id="the lowest key"),
        pytest.param((FAR, _make_member(2)), 0, id="another is lower"),
    ],
)
def test_one_entry_of_each_domain_writes(
    harness: _Harness, others: tuple[core.Member, ...], writes: int
) -> None:
    harness.answer()
    harness.tell_members(*others)
    harness.learn()
    harness.pass_time(5)
    assert len(harness.list_writes()) == writes


def test_next_entry_writes_once_the_writer_has_gone(harness: _Harness) -> None:
    harness.answer()
    harness.tell_members(FAR, _make_member(2))
    harness.learn()
    harness.pass_time(5)
    assert not harness.list_writes()
    harness.tell_members(FAR)
    harness.pass_time(5)
    assert len(harness.list_writes()) == 1
    assert harness.changes == [
        transport.FeatureEnabled(
            "stored-estimates", "entries in 2 failure domains"
        )
    ]


@pytest.mark.parametrize(
    "result",
    [
        core.TableResult.UNREACHABLE,
        core.TableResult.REFUSED,
        core.TableResult.MALFORMED,
        core.TableResult.EXPIRED,
    ],
)
def test_read_is_repeated_until_the_store_is_back(
    harness: _Harness, result: core.TableResult
) -> None:
    harness.answer(result=result)
    harness.learn()
    harness.pass_time(0.4)
    assert len(harness.calls) == 1
    harness.pass_time(0.1)
    assert [type(call) for call in harness.calls] == [core.TableRead] * 2
    harness.answer()
    harness.pass_time(5)
    assert len(harness.list_writes()) == 1


def test_entry_that_restarts_without_a_store_learns_by_itself(
    harness: _Harness,
) -> None:
    harness.answer(result=core.TableResult.UNREACHABLE)
    harness.learn()
    size = harness.estimates.estimate_size("hall", "tag", 100)
    assert size.confidence > 0.9
    for _ in range(60):
        harness.pass_time(1)
        if isinstance(harness.calls[-1], core.TableRead):
            harness.answer(result=core.TableResult.UNREACHABLE)
    assert len(harness.list_writes()) == 1
    before = len(harness.calls)
    harness.pass_time(5)
    assert len(harness.calls) == before, "one call at a time"


def test_failed_write_is_repeated_after_5_s(harness: _Harness) -> None:
    harness.answer()
    harness.learn()
    harness.pass_time(5)
    harness.answer(result=core.TableResult.UNREACHABLE)
    harness.pass_time(4.9)
    assert len(harness.list_writes()) == 1
    harness.pass_time(0.1)
    assert len(harness.list_writes()) == 2


def test_row_that_cannot_be_decoded_is_logged_and_the_others_used(
    harness: _Harness,
) -> None:
    other = _Harness()
    other.answer()
    other.learn()
    other.pass_time(5)
    harness.answer(core.TableRow("seeb", b"?", 7), _make_row(other))
    passed_over, restored = harness.changes
    assert (passed_over.table, passed_over.key) == ("estimates", "seeb")
    assert restored.rows == 1


def test_calls_are_counted(harness: _Harness) -> None:
    harness.answer()
    harness.learn()
    harness.pass_time(5)
    harness.answer(result=core.TableResult.UNREACHABLE)
    calls = harness.metrics.families.estimate_calls
    assert calls.get("read", "done") == 1
    assert calls.get("write", "unreachable") == 1
