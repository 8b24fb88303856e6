"""Tests of the member list in heartbeats of a fleet with many entries.

Pattern: an agent with links to several entries hears the same members from
each of them, and each entry lists itself first. A list of 35 members takes 4
kilobytes, so it is sent only to an agent that doesn't know it.
"""

import attrs
import cowslipgate_core as core
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.tests import builders

ENTRIES = 35
OTHERS = tuple(
    core.Member(100 + number, f"tcp://127.0.0.2:{number}", "", "kaai-zuid")
    for number in range(ENTRIES - 1)
)
MEMBERS = (builders.MEMBER, *OTHERS)


@pytest.mark.parametrize(
    ("known", "sent"),
    [
        pytest.param(MEMBERS, (), id="this entry first"),
        pytest.param((*OTHERS, builders.MEMBER), (), id="another entry first"),
        pytest.param(OTHERS, MEMBERS, id="one entry missing"),
        pytest.param((), MEMBERS, id="none known"),
    ],
)
def test_members_are_sent_only_to_agents_that_lack_some(
    known: tuple[core.Member, ...], sent: tuple[core.Member, ...]
) -> None:
    harness = builders.DispatcherHarness()
    harness.fire(_events.members_changed(MEMBERS))
    report = attrs.evolve(
        builders.build_report(), members_digest=core.digest_members(known)
    )
    harness.deliver(report)
    beat = harness.outbox.take(core.Beat)[-1]
    assert beat.members == sent
