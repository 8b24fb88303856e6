"""Tests of finding entries in a store, and by asking those that are known."""

from collections.abc import Iterator

import circuits
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


class Rig(circuits.BaseComponent):
    """The component with what it asks and finds."""

    channel = "rig"

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
        """Fire an event at the component and let all follow."""
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
def rig() -> Iterator[Rig]:
    """Return a rig that has asked once."""
    made = Rig(SEEDS)
    made.discover()
    yield made


def _row(member: core.Member) -> core.TableRow:
    value = core.encode_lease(core.Lease(member, 1))
    return core.TableRow(core.name_lease(member), value, 1)


def test_entries_are_found_in_the_store(rig: Rig) -> None:
    rig.answer_read(tuple(_row(member) for member in MEMBERS))
    assert rig.found == [MEMBERS]


def test_rows_of_other_writers_name_no_entry(rig: Rig) -> None:
    junk = core.TableRow("127.0.0.1:9", b"\xff{", 1)
    rig.answer_read((junk, _row(MEMBERS[0])))
    assert rig.found == [MEMBERS[:1]]


@pytest.mark.parametrize(
    "result", [core.TableResult.UNREACHABLE, core.TableResult.REFUSED]
)
def test_store_that_is_away_finds_nothing_and_is_asked_again(
    rig: Rig, result: core.TableResult
) -> None:
    rig.answer_read(result=result)
    assert rig.found == []
    rig.discover()
    assert len(rig.reads) == 2


def test_store_is_asked_once_at_a_time(rig: Rig) -> None:
    rig.discover()
    rig.discover()
    assert len(rig.reads) == 1


def test_seeds_are_asked_in_turn_while_the_store_is_silent(rig: Rig) -> None:
    rig.discover()
    rig.discover()
    asked = [call.address for call in rig.calls]
    assert asked == [SEEDS[0], SEEDS[1], SEEDS[0]]


def test_entries_are_found_at_a_seed(rig: Rig) -> None:
    body = msgspec.json.encode(MEMBERS)
    answer = transport.CallAnswer(rig.calls[-1], 200, {}, body)
    rig.send(transport.http_answered(answer))
    assert rig.found == [MEMBERS]


@pytest.mark.parametrize(
    ("status", "body"), [(503, b"{}"), (200, b"\xff"), (200, b"[{}]")]
)
def test_seed_that_answers_something_else_finds_nothing(
    rig: Rig, status: int, body: bytes
) -> None:
    answer = transport.CallAnswer(rig.calls[-1], status, {}, body)
    rig.send(transport.http_answered(answer))
    assert rig.found == []


def test_agent_without_seeds_asks_the_store_alone() -> None:
    rig = Rig(())
    rig.discover()
    assert (len(rig.reads), rig.calls) == (1, [])
