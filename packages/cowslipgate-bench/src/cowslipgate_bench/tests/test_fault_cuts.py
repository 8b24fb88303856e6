"""Cuts of the fault soak between entries, agents and callers."""

from collections.abc import Iterator
import pathlib
import random

from cowslipgate_platform.tests import calls
import pytest

from cowslipgate_bench import _proxy
from cowslipgate_bench import _waits
from cowslipgate_bench import faultsoak
from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _faults

DRAWS = 500
JOBS = 4
LONG_TASK_MS = 5_500
VERSIONS = 14
FLEET = _deployment.MAX_CUT_AGENTS


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[faultsoak.Deployment]:
    """Return one entry and two agents that have started."""
    deployment = faultsoak.Deployment(tmp_path, 1, 2)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


def _count_agents(system: faultsoak.Deployment) -> int:
    return calls.count_agents(system.entries[0].ip)


# No link between agents and entries could be cut, in one direction or both.
def test_agent_cut_off_one_way_is_lost_until_the_cut_ends(
    system: faultsoak.Deployment,
) -> None:
    one_way = frozenset({_proxy.Direction.FORWARD})
    system.cut_agent(0, one_way)
    _waits.wait_until(lambda: _count_agents(system) == 1, "one agent lost")
    system.heal()
    _waits.wait_until(lambda: _count_agents(system) == 2, "both agents")


# An agent that heard the notices of configurations, but was not heard, went on
# with its runs beside those that the entry had started elsewhere.
def test_task_of_an_agent_cut_off_one_way_has_one_run_at_a_time(
    system: faultsoak.Deployment,
) -> None:
    answers = [
        system.submit(0, system.make_job(1, LONG_TASK_MS)) for _ in range(JOBS)
    ]
    _waits.wait_until(lambda: len(system.list_runs()) == JOBS, "all runs")
    # The entry may have sent every task to the same agent.
    busy = next(
        number
        for number, target in enumerate(system.targets)
        if target.journal
    )
    cut = _faults.CutAgents(
        (busy,), frozenset({_proxy.Direction.FORWARD}), VERSIONS
    )
    _faults.inject(cut, system)
    system.heal()
    assert {answer.result().status for answer in answers} == {200}
    system.wait_ended()
    runs = system.list_runs()
    assert len(runs) > JOBS
    assert not faultsoak.find_violations((), runs)


# Nobody reset a caller while its entry heard neither it nor its agents.
def test_callers_of_an_isolated_entry_are_reset(
    system: faultsoak.Deployment,
) -> None:
    answer = system.submit(0, system.make_job(1, 5_000))
    _waits.wait_until(lambda: system.list_runs(), "a run")
    system.isolate_entry(0)
    reply = answer.result(5)
    assert (reply.status, reply.disconnected) == (0, False)
    system.heal()
    system.wait_ready()
    system.wait_ended()
    assert [run.outcome for run in system.list_runs()] != ["done"]


@pytest.mark.parametrize(
    ("agents", "drawn"), [(3, True), (FLEET, True), (FLEET + 1, False)]
)
def test_cuts_are_drawn_where_the_links_pass_the_proxy(
    agents: int, drawn: bool
) -> None:
    rng = random.Random(1)
    faults = {type(_faults.draw_fault(rng, 2, agents)) for _ in range(DRAWS)}
    cuts = {_faults.CutAgents, _faults.IsolateEntry}
    assert faults & cuts == (cuts if drawn else set())
