"""Model-based test of links and callers' connections that break together."""

import random

from cowslipgate_core.tests import link_model
import pytest

RESEND_MS = 1_300
SEEDS = 60


# Guards against two runs of one task: a run of the first submission is active
# when the caller, whose connection broke with the links, sends its job again.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_run_of_an_abandoned_job_is_active_when_its_caller_returns(
    seed: int,
) -> None:
    chance = random.Random(seed)
    model = link_model.LinkModel(seed)
    for _ in range(chance.randint(1, 5)):
        model.submit(chance.randint(1, 4))
        model.run(chance.choice((10, 50, 200)))
    if chance.random() < 0.5:
        model.leave(0)
        model.run(chance.choice((10, 600)))
    abandoned = model.disrupt()
    passed = 0
    # Links may break again while the stops are on their way.
    for _ in range(chance.randint(0, 3)):
        wait = chance.choice((20, 110, 150, 250))
        model.run(wait)
        passed += wait
        model.reset_links()
    model.run(RESEND_MS - passed)
    assert not abandoned & model.list_running()
    model.run(4 * RESEND_MS)
    assert not abandoned & model.list_running()


def test_model_abandons_jobs_that_run() -> None:
    found = 0
    for seed in range(SEEDS):
        model = link_model.LinkModel(seed)
        model.submit(4)
        model.run(200)
        running = model.list_running()
        found += bool(running & model.disrupt())
    assert found > SEEDS // 4
