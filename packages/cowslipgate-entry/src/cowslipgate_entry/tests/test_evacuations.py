"""Tests of what an entry tells agents of evacuations, and logs."""

import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_entry import _events
from cowslipgate_entry.agents import _evacuations
from cowslipgate_entry.observation import _changes
from cowslipgate_entry.tests import builders
from cowslipgate_entry.tests import control_builders
from cowslipgate_entry.tests import evacuation_builders

DOMAIN = evacuation_builders.DOMAIN
NOTICE = core.EvacuationNotice(builders.MEMBER.incarnation, 10, (DOMAIN,))


@pytest.fixture
def harness() -> evacuation_builders.EvacuationHarness:
    harness = evacuation_builders.EvacuationHarness()
    harness.take_messages()
    return harness


def _list_kinds(
    harness: evacuation_builders.EvacuationHarness,
) -> list[type]:
    return [type(change) for change in harness.take_changes()]


def test_change_is_told_confirmed_and_logged(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    assert harness.take_notices() == [NOTICE]
    assert harness.evacuations.list_unconfirmed() == ["agent-1"]
    assert b"unconfirmed_agents 1" in harness.evacuations.render()
    harness.clock.advance(evacuation_builders.BOUND / 5)
    harness.hold(10, DOMAIN)
    assert harness.evacuations.list_unconfirmed() == []
    assert harness.take_changes() == [
        _changes.EvacuationChanged((DOMAIN,), 10, "store"),
        _changes.EvacuationConfirmed((DOMAIN,), 10, 1, 1_000),
    ]
    harness.pass_time(2.0)
    harness.report()
    assert harness.take_notices() == []


# Guards against a notice that was lost with its connection, or in a process
# that ended before it was handled.
def test_lost_notice_is_repeated(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    harness.take_messages()
    harness.pass_time(0.3)
    assert harness.take_notices() == []
    harness.pass_time(0.3)
    assert harness.take_notices() == [NOTICE]
    harness.report()
    assert harness.take_notices() == [NOTICE]
    harness.hold(10, DOMAIN)
    harness.report(link=2)
    assert harness.take_notices() == [NOTICE]


# Guards against an order on a new link to an agent that does not know the set.
def test_notice_precedes_other_messages_on_a_new_link(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    harness.hold(10, DOMAIN)
    harness.take_messages()
    harness.report(link=1, incarnation=2)
    kinds = [type(message) for message in harness.take_messages()]
    assert kinds == [core.EvacuationNotice, core.Beat]
    # What an earlier incarnation held shows nothing about this one.
    assert harness.evacuations.list_unconfirmed() == ["agent-1"]
    harness.hold(10, DOMAIN, incarnation=1)
    assert harness.evacuations.list_unconfirmed() == ["agent-1"]


def test_set_of_an_agent_is_adopted_if_it_is_newer(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.hold(10, DOMAIN)
    known = core.Evacuations(10, frozenset((DOMAIN,)))
    assert harness.evacuations.evacuations == known
    assert harness.take_changes()[0].source == "agent"
    # The store's own answer may be older, after a cut.
    harness.read(9)
    assert harness.evacuations.evacuations == known
    harness.read(11)
    assert harness.evacuations.evacuations.domains == frozenset()


# Guards against an evacuation that stays in force for ever, as it was revoked
# before this entry heard of it, and an agent that missed that still holds it.
def test_set_of_an_agent_that_was_revoked_before_is_answered(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(9)
    key = f"{evacuation_builders.PREFIX}{DOMAIN}"
    harness.follow(core.TableRow(key, b"", 12, removed=True))
    harness.hold(10, DOMAIN)
    assert harness.evacuations.evacuations == core.Evacuations(12)
    own = builders.MEMBER.incarnation
    assert harness.take_notices() == [core.EvacuationNotice(own, 12, ())]


# Guards against an agent that refuses for ever, as it was cut off when the
# evacuation was revoked, by an entry that never knew of the evacuation.
def test_older_set_of_an_agent_is_answered(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(12)
    harness.hold(10, DOMAIN)
    own = builders.MEMBER.incarnation
    assert harness.take_notices() == [core.EvacuationNotice(own, 12, ())]
    harness.pass_time(0.6)
    assert harness.take_notices() == [core.EvacuationNotice(own, 12, ())]


# Guards against a configuration that overtakes the set on its way through an
# agent to an entry without the store.
def test_notice_precedes_a_relayed_configuration(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    harness.hold(10, DOMAIN)
    harness.take_messages()
    harness.deliver(core.RelayRequest("agent-1", 1, 3))
    assert harness.take_notices() == [NOTICE]


def test_nothing_is_sent_before_the_first_evacuation(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10)
    harness.report(link=2)
    harness.pass_time(1.0)
    harness.deliver(core.RelayRequest("agent-1", 1, 3))
    assert harness.take_notices() == []


# Guards against a version that later reads raise without need: only the
# next reports carry it.
def test_version_without_another_set_is_told_with_reports(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    harness.hold(10, DOMAIN)
    harness.take_messages()
    harness.take_changes()
    harness.read(20, DOMAIN)
    harness.pass_time(1.0)
    assert harness.take_notices() == []
    harness.report()
    assert [notice.version for notice in harness.take_notices()] == [20]
    assert harness.take_changes() == []


def test_unknown_domain_and_unusable_keys_are_logged(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, "typo", DOMAIN, "")
    assert _changes.EvacuationIgnored in _list_kinds(harness)
    # The agents of the domain may be about to link to this entry.
    harness.pass_time(4.0)
    assert _changes.EvacuationOfUnknownDomain not in _list_kinds(harness)
    harness.pass_time(1.5)
    unknown = _changes.EvacuationOfUnknownDomain("typo")
    assert harness.take_changes() == [unknown]
    assert transport.get_level(unknown) > transport.get_level(
        _changes.EvacuationChanged((), 1, "store")
    )
    assert "typo" in harness.evacuations.evacuations.domains
    harness.pass_time(9.0)
    assert harness.take_changes() == []


def test_agents_that_are_gone_are_not_waited_for(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    harness.read(10, DOMAIN)
    harness.deliver(core.Goodbye("agent-1", 1, 1))
    harness.pass_time(0.1)
    assert _changes.EvacuationConfirmed in _list_kinds(harness)


# Guards against memory that grows with each agent that comes and goes where
# nothing was ever evacuated.
def test_agents_that_are_gone_are_forgotten_without_an_evacuation(
    harness: evacuation_builders.EvacuationHarness,
) -> None:
    assert harness.evacuations.remembered == 1
    harness.deliver(core.Goodbye("agent-1", 1, 1))
    harness.pass_time(0.1)
    assert harness.evacuations.remembered == 0


def test_requests_are_logged_while_evacuations_are_not_enabled() -> None:
    recorders = control_builders.ComponentHarness("logs")
    _evacuations.IgnoredEvacuations(
        evacuation_builders.find_domain, "bounds.evacuate_ms"
    ).register(recorders.root)
    rows = (
        core.TableRow("config", b"{}", 3),
        core.TableRow("evacuate/a", b"", 4),
        core.TableRow("evacuate/b", b"", 5, removed=True),
    )
    call = core.TableRead("", "op")
    answer = core.TableAnswer(call, core.TableResult.DONE, rows, 5)
    recorders.fire(_events.operator_rows_read(answer), "evacuations")
    ((change,),) = recorders.recorders["logs"].take("changed")
    assert (change.key, change.version) == ("evacuate/a", 4)
    assert "evacuate_ms" in change.problem
