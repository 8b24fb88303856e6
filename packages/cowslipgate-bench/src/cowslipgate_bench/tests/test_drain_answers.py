"""Planned stops of the platform's entry while jobs wait and run."""

from collections.abc import Iterator
import pathlib

import attrs
import pytest

from cowslipgate_bench import _waits
from cowslipgate_bench import faultsoak

ROUTE_TIMEOUT_MS = 18_000
"""Longer than the 6 s that a planned stop may take."""

ROOM = 24
"""Tasks that the three targets do at once."""

LONG_MS = 2_000
SHORT_MS = 300
SHORT_JOBS = 6


@pytest.fixture
def system(tmp_path: pathlib.Path) -> Iterator[faultsoak.Deployment]:
    """Return two entries and three agents that have started."""
    deployment = faultsoak.Deployment(tmp_path, 2, 3, ROUTE_TIMEOUT_MS)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


# Guards against connections that an entry closes at the end of its drain
# without an answer (review/3), and against an exit with 1 though nothing was
# cut (fault soak, seed 3009).
@pytest.mark.parametrize("names_deadline", [True, False])
def test_stopped_entry_answers_everybody(
    system: faultsoak.Deployment, names_deadline: bool
) -> None:
    long = system.make_job(5 * ROOM, LONG_MS, names_deadline=names_deadline)
    answers = [system.submit(0, long)]
    _waits.wait_until(lambda: system.list_runs(), "a run")
    short = system.make_job(2, SHORT_MS, names_deadline=names_deadline)
    names = [system.make_job(2, SHORT_MS).name for _ in range(SHORT_JOBS)]
    answers += [
        system.submit(0, attrs.evolve(short, name=name)) for name in names
    ]
    system.restart_gracefully(system.entries[0])
    replies = [answer.result() for answer in answers]
    assert system.failures == []
    assert [reply.status for reply in replies if not reply.status] == []
    # A part of the long job ran.
    assert replies[0].status == 502
    for name, reply in zip(names, replies[1:], strict=True):
        ran = bool(system.list_runs(name))
        assert reply.status != 503 or not ran
