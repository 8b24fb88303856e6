"""What an entry and an agent do as the fleet grows, counted at two sizes.

Pattern: the fleet grows tenfold with the same share of entries. Links, bytes
of heartbeats and messages of a job must not grow with it.
"""

import collections

import attrs
import cowslipgate_core as core
from cowslipgate_core.membership import _heartbeats
from cowslipgate_core.tests import builders
import pytest

DOMAINS = ("kaai-zuid", "dokken-noord", "depot-berchem", "ruwi", "seeb")
AGENTS_AN_ENTRY = 5
LINKS = 8
"""Entries that an agent connects to."""

SMALL = 10
LARGE = 100
"""Entries of the two fleets."""

TASKS = 8
QUOTAS = {"hall": 1_000}


def _build_members(entries: int) -> tuple[core.Member, ...]:
    return tuple(
        core.Member(
            1_000 + number,
            f"tcp://127.0.{number // 250}.{number % 250 + 1}:7720",
            f"127.0.{number // 250}.{number % 250 + 1}:8161",
            DOMAINS[number % len(DOMAINS)],
            "regio-antw",
        )
        for number in range(entries)
    )


def _count_links(entries: int) -> collections.Counter[int]:
    """Return the number of agents linked to each entry."""
    members = _build_members(entries)
    links: collections.Counter[int] = collections.Counter()
    for number in range(entries * AGENTS_AN_ENTRY):
        chosen = core.choose_entries(
            f"agent-{number}",
            members,
            LINKS,
            "regio-antw",
            DOMAINS[number % len(DOMAINS)],
        )
        links.update(member.incarnation for member in chosen)
    return links


@pytest.mark.parametrize("entries", [SMALL, LARGE])
def test_links_of_an_entry_do_not_grow_with_the_fleet(entries: int) -> None:
    links = _count_links(entries)
    assert len(links) == entries
    assert links.total() == entries * AGENTS_AN_ENTRY * LINKS
    assert max(links.values()) <= 2 * AGENTS_AN_ENTRY * LINKS


def _measure_heartbeats(entries: int) -> int:
    """Return the bytes of a report and its answer on a settled link."""
    members = _build_members(entries)
    report = attrs.evolve(
        builders.build_report(), members_digest=core.digest_members(members)
    )
    beat = core.Beat(members[0].incarnation, 1, (), heartbeat_ms=1_600)
    return sum(
        len(frame)
        for message in (report, beat)
        for frame in core.encode_message(message)
    )


def test_heartbeats_do_not_grow_with_the_fleet() -> None:
    small = _measure_heartbeats(SMALL)
    # The reported digest of the members has one size.
    assert _measure_heartbeats(LARGE) == small
    assert small <= _heartbeats.HEARTBEAT_BYTES


@pytest.mark.parametrize("agents", [40, 400])
def test_messages_of_a_job_do_not_grow_with_the_agents(agents: int) -> None:
    ledger = core.Ledger(core.Matching())
    for number in range(agents):
        report = builders.build_report(f"agent-{number}", slots=1)
        ledger.handle_report(report, builders.NOW)
    ledger.submit(builders.build_job(ledger, TASKS))
    sent = ledger.assign(builders.NOW, QUOTAS)
    assert len(sent) == TASKS
    assert sum(len(action.orders) for action in sent) == TASKS
    # Neither idle agents nor runs under way cause messages by themselves.
    assert ledger.tick(builders.NOW) == []


def _count_visits(
    agents: int, monkeypatch: pytest.MonkeyPatch
) -> collections.Counter[str]:
    """Return how often a pass for one job looks at each target."""
    ledger = core.Ledger(core.Matching())
    for number in range(agents):
        report = builders.build_report(f"agent-{number}", slots=1)
        ledger.handle_report(report, builders.NOW)
    ledger.submit(builders.build_job(ledger, TASKS, "first"))
    # The first pass ranks the targets, which happens twice a second.
    ledger.assign(builders.NOW, QUOTAS)
    ledger.submit(builders.build_job(ledger, TASKS, "second"))
    visits: collections.Counter[str] = collections.Counter()
    has_free_place = core.Pool.has_free_place

    def count(pool: core.Pool, target: core.TargetView) -> bool:
        visits[target.agent] += 1
        return has_free_place(pool, target)

    monkeypatch.setattr(core.Pool, "has_free_place", count)
    assert len(ledger.assign(builders.NOW, QUOTAS)) == TASKS
    return visits


def test_a_pass_looks_at_as_many_targets_as_it_fills(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small = _count_visits(40, monkeypatch)
    monkeypatch.undo()
    large = _count_visits(400, monkeypatch)
    assert large.total() == small.total()
    assert len(large) <= 2 * TASKS
