"""Tests of discovering entries in the store and through known entries."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import threading
import time

import circuits
from circuits.core import events
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec
import pytest

from cowslipgate_agent import _events
from cowslipgate_agent import _table_discovery

MEMBERS = (
    core.Member(1, "tcp://127.0.0.1:1", "127.0.0.1:2", "ruwi"),
    core.Member(2, "tcp://127.0.0.1:3", "127.0.0.1:4", "seeb"),
)
SEEDS = (transport.Address("127.0.0.1", 5), transport.Address("127.0.0.1", 6))


class DiscoveryHarness(circuits.BaseComponent):
    """The component, with a record of its requests and results."""

    channel = "harness"

    def __init__(self, seeds: tuple[transport.Address, ...]) -> None:
        super().__init__()
        self.reads: list[core.TableCall] = []
        self.calls: list[transport.Call] = []
        self.found: list[tuple[core.Member, ...]] = []
        _table_discovery.TableDiscovery(seeds).register(self)

    @circuits.handler("call_table", channel="store")
    def _on_call_table(self, call: core.TableCall) -> None:
        self.reads.append(call)

    @circuits.handler("call_http", channel="*")
    def _on_call_http(self, call: transport.Call) -> None:
        self.calls.append(call)

    @circuits.handler("members_found", channel="links")
    def _on_members_found(self, members: tuple[core.Member, ...]) -> None:
        self.found.append(members)

    def send(self, event: circuits.Event) -> None:
        """Fire an event at the component and process what follows."""
        self.fire(event, _table_discovery.CHANNEL)
        while len(self):
            self.flush()

    def discover(self) -> None:
        """Ask for entries."""
        self.send(_events.discover_entries())

    def answer_read(
        self,
        rows: tuple[core.TableRow, ...] = (),
        result: core.TableResult = core.TableResult.DONE,
    ) -> None:
        """Answer the last read."""
        answer = core.TableAnswer(self.reads[-1], result, rows)
        self.send(transport.table_answered(answer))


@pytest.fixture
def harness() -> Iterator[DiscoveryHarness]:
    """Return a harness that has asked for entries once."""
    harness = DiscoveryHarness(SEEDS)
    harness.discover()
    yield harness


def _row(member: core.Member) -> core.TableRow:
    value = core.encode_lease(core.Lease(member, 1))
    return core.TableRow(core.name_lease(member), value, 1)


def test_entries_are_found_in_the_store(harness: DiscoveryHarness) -> None:
    harness.answer_read(tuple(_row(member) for member in MEMBERS))
    assert harness.found == [MEMBERS]


def test_rows_of_other_writers_are_ignored(harness: DiscoveryHarness) -> None:
    foreign = core.TableRow("127.0.0.1:9", b"\xff{", 1)
    harness.answer_read((foreign, _row(MEMBERS[0])))
    assert harness.found == [MEMBERS[:1]]


@pytest.mark.parametrize(
    "result", [core.TableResult.UNREACHABLE, core.TableResult.REFUSED]
)
def test_unavailable_store_finds_nothing_and_is_read_again(
    harness: DiscoveryHarness, result: core.TableResult
) -> None:
    harness.answer_read(result=result)
    assert harness.found == []
    harness.discover()
    assert len(harness.reads) == 2


def test_store_has_one_read_in_progress(harness: DiscoveryHarness) -> None:
    harness.discover()
    harness.discover()
    assert len(harness.reads) == 1


def test_seeds_are_asked_in_turn_while_the_store_does_not_answer(
    harness: DiscoveryHarness,
) -> None:
    harness.discover()
    harness.discover()
    asked = [call.address for call in harness.calls]
    assert asked == [SEEDS[0], SEEDS[1], SEEDS[0]]


def test_entries_are_found_at_a_seed(harness: DiscoveryHarness) -> None:
    body = msgspec.json.encode(MEMBERS)
    answer = transport.CallAnswer(harness.calls[-1], 200, {}, body)
    harness.send(transport.http_answered(answer))
    assert harness.found == [MEMBERS]


@pytest.mark.parametrize(
    ("status", "body"), [(503, b"{}"), (200, b"\xff"), (200, b"[{}]")]
)
def test_invalid_answer_of_a_seed_finds_nothing(
    harness: DiscoveryHarness, status: int, body: bytes
) -> None:
    answer = transport.CallAnswer(harness.calls[-1], status, {}, body)
    harness.send(transport.http_answered(answer))
    assert harness.found == []


def test_agent_without_seeds_asks_the_store_alone() -> None:
    harness = DiscoveryHarness(())
    harness.discover()
    assert (len(harness.reads), harness.calls) == (1, [])


def _run_until(
    harness: DiscoveryHarness, check: Callable[[], bool], seconds: float
) -> bool:
    """Run the event loop until ``check`` is true; return whether it was."""
    until = time.monotonic() + seconds
    while not check() and time.monotonic() < until:
        harness.fire(events.generate_events(threading.RLock(), 0.01), "*")
        while len(harness):
            harness.flush()
    return check()


def test_entries_that_a_restarted_seed_does_not_list_are_found_later(
    harness: DiscoveryHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Agents and entries were restarted while the store was away: the first
    # seed lists itself only, and the agent is linked to it.
    monkeypatch.setattr(_table_discovery, "RETRY_SECONDS", 0.01, raising=False)
    body = msgspec.json.encode(MEMBERS[:1])
    answer = transport.CallAnswer(harness.calls[-1], 200, {}, body)
    harness.send(transport.http_answered(answer))
    harness.answer_read(result=core.TableResult.UNREACHABLE)
    assert _run_until(harness, lambda: len(harness.reads) == 2, 5)
    assert [call.address for call in harness.calls] == list(SEEDS)
    harness.answer_read(tuple(_row(member) for member in MEMBERS))
    assert harness.found == [MEMBERS[:1], MEMBERS]
    # The store has answered, so it is not asked again.
    assert not _run_until(harness, lambda: len(harness.reads) > 2, 0.1)


def test_reads_of_an_overloaded_store_become_rarer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All agents of a fleet start at once, and the store answers none in time.
    random.seed(1)
    waits: list[float] = []
    monkeypatch.setattr(
        transport.Countdown,
        "start",
        lambda countdown, seconds: waits.append(seconds),
    )
    for _ in range(50):
        harness = DiscoveryHarness(SEEDS)
        for _ in range(6):
            harness.discover()
            harness.answer_read(result=core.TableResult.UNREACHABLE)
    for failures, mean in enumerate((1, 2, 4, 8, 8, 8)):
        of_all = waits[failures::6]
        assert 0.5 * mean <= min(of_all) < 0.75 * mean
        assert 1.25 * mean < max(of_all) <= 1.5 * mean
