"""Tests of the member list while entries have different views.

Pattern: 35 entries are stopped and started one after the other. Each entry
reads the members every 5 s, so that no two have the same list meanwhile, and
each agent has links to eight of them. A list takes 3 kilobytes, often between
failure domains; it was sent with every heartbeat.
"""

import datetime

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_entry.agents import _member_lists
from cowslipgate_entry.tests import builders

NOW = datetime.datetime(2026, 12, 5, tzinfo=datetime.UTC)
LINKS = 8
TICK = datetime.timedelta(milliseconds=100)
HEARTBEAT_TICKS = 16
READ_SECONDS = 5
ROLL_SECONDS = 35
BEFORE = tuple(
    core.Member(100 + number, f"tcp://127.0.0.2:{number}", "", "kaai-zuid")
    for number in range(35)
)
AFTER = tuple(
    attrs.evolve(member, incarnation=200 + number)
    for number, member in enumerate(BEFORE)
)


def _build_report(
    members: tuple[core.Member, ...], incarnation: int = 1, link: int = 1
) -> core.Report:
    return attrs.evolve(
        builders.build_report(),
        incarnation=incarnation,
        link=link,
        members_digest=core.digest_members(members),
    )


def _read_members(seconds: float) -> tuple[core.Member, ...]:
    """Return the members some time after the first restart, one a second."""
    restarted = min(int(seconds), len(AFTER))
    return AFTER[:restarted] + BEFORE[restarted:]


def test_entries_restarted_one_after_the_other_cause_few_lists() -> None:
    entries = [_member_lists.MemberLists(BEFORE) for _ in range(LINKS)]
    known = BEFORE
    sent = 0
    for tick in range((ROLL_SECONDS + 2 * READ_SECONDS) * 10):
        for number, entry in enumerate(entries):
            # Entries read at different times.
            if (tick + 6 * number) % (READ_SECONDS * 10) == 0:
                entry.replace(_read_members(tick / 10))
            if (tick + 2 * number) % HEARTBEAT_TICKS:
                continue
            members = entry.choose(_build_report(known), NOW + tick * TICK)
            sent += bool(members)
            known = members or known
    assert known == AFTER
    # One for each read of an entry during the restarts and just after.
    assert sent <= LINKS * (ROLL_SECONDS // READ_SECONDS + 2)


@pytest.mark.parametrize(
    ("report", "after_seconds", "sent"),
    [
        pytest.param(_build_report(BEFORE), 1.6, False, id="next heartbeat"),
        pytest.param(_build_report(BEFORE), 5.1, True, id="list was lost"),
        pytest.param(_build_report(()), 0.1, True, id="agent knows nobody"),
        pytest.param(_build_report(BEFORE, link=2), 0.1, True, id="new link"),
        pytest.param(
            _build_report(BEFORE, incarnation=2), 0.1, True, id="new process"
        ),
        pytest.param(_build_report(AFTER), 5.1, False, id="agent knows them"),
    ],
)
def test_list_is_sent_again_only_when_needed(
    report: core.Report, after_seconds: float, sent: bool
) -> None:
    lists = _member_lists.MemberLists(AFTER)
    assert lists.choose(_build_report(BEFORE), NOW) == AFTER
    later = NOW + datetime.timedelta(seconds=after_seconds)
    assert lists.choose(report, later) == (AFTER if sent else ())


def test_changed_list_is_sent_at_once() -> None:
    lists = _member_lists.MemberLists(BEFORE)
    assert lists.choose(_build_report(()), NOW) == BEFORE
    lists.replace(AFTER)
    assert lists.choose(_build_report(BEFORE), NOW) == AFTER
