"""Tests of the choice of entries that an agent connects to."""

import collections

import cowslipgate_core as core
import pytest

REGIONS = {"north": ("kaai-zuid", "dokken-noord"), "south": ("ruwi", "seeb")}
ENTRIES_IN_A_DOMAIN = 4
AGENTS = 400


def _build_members() -> tuple[core.Member, ...]:
    members = []
    for region, domains in REGIONS.items():
        for domain in domains:
            for _ in range(ENTRIES_IN_A_DOMAIN):
                number = len(members) + 1
                address = f"tcp://127.0.0.1:{number}"
                members.append(
                    core.Member(number, address, "", domain, region)
                )
    return tuple(members)


MEMBERS = _build_members()
NORTH = tuple(member for member in MEMBERS if member.region == "north")
SOUTH = tuple(member for member in MEMBERS if member.region == "south")


@pytest.mark.parametrize(
    ("members", "count", "regions"),
    [
        (MEMBERS, 1, {"north": 1}),
        (MEMBERS, 2, {"north": 1, "south": 1}),
        (MEMBERS, 4, {"north": 3, "south": 1}),
        (NORTH[:2] + SOUTH, 4, {"north": 2, "south": 2}),
        (NORTH, 4, {"north": 4}),
        (SOUTH, 4, {"south": 4}),
        (NORTH[:1], 4, {"north": 1}),
    ],
)
def test_all_but_one_link_stay_in_the_region(
    members: tuple[core.Member, ...], count: int, regions: dict[str, int]
) -> None:
    chosen = core.choose_entries("agent-1", members, count, "north")
    assert collections.Counter(m.region for m in chosen) == regions


def test_links_within_a_region_alternate_between_domains() -> None:
    for number in range(AGENTS):
        chosen = core.choose_entries(f"agent-{number}", NORTH, 4, "north")
        domains = collections.Counter(member.domain for member in chosen)
        assert set(domains.values()) == {2}


def test_loss_of_an_entry_moves_at_most_one_other_link() -> None:
    lost = NORTH[0]
    remaining = tuple(member for member in MEMBERS if member != lost)
    for number in range(AGENTS):
        agent = f"agent-{number}"
        before = core.choose_entries(agent, MEMBERS, 4, "north")
        after = core.choose_entries(agent, remaining, 4, "north")
        kept = {member for member in before if member != lost}
        assert len(kept - set(after)) <= 1


def test_agents_spread_over_the_entries_of_their_region() -> None:
    links = collections.Counter(
        member.incarnation
        for number in range(AGENTS)
        for member in core.choose_entries(
            f"agent-{number}", MEMBERS, 4, "north"
        )
        if member.region == "north"
    )
    mean = AGENTS * 3 / len(NORTH)
    assert len(links) == len(NORTH)
    assert max(links.values()) < 1.3 * mean


LARGE_DOMAINS = tuple(f"domain-{number}" for number in range(5))
LARGE = tuple(
    core.Member(
        number, f"tcp://127.0.0.1:{number}", "", LARGE_DOMAINS[number % 5], "r"
    )
    for number in range(1, 36)
)


@pytest.mark.parametrize(
    ("members", "near"),
    [
        pytest.param(LARGE, 5, id="seven entries in each of five domains"),
        pytest.param(
            tuple(m for m in LARGE if m.domain != LARGE_DOMAINS[0]),
            0,
            id="own domain dark",
        ),
        pytest.param(
            tuple(m for m in LARGE if m.domain == LARGE_DOMAINS[0]),
            7,
            id="all others dark",
        ),
        pytest.param(LARGE[:6], 1, id="fewer entries than links"),
    ],
)
def test_most_links_stay_in_the_domain_and_none_is_unused(
    members: tuple[core.Member, ...], near: int
) -> None:
    for number in range(AGENTS):
        chosen = core.choose_entries(
            f"agent-{number}", members, 8, "r", LARGE_DOMAINS[0]
        )
        assert len(set(chosen)) == min(8, len(members))
        own = [m for m in chosen if m.domain == LARGE_DOMAINS[0]]
        assert len(own) == near
