"""Short run of the mixed faults with a fixed seed."""

import datetime

from cowslipgate_bench import _soak

DURATION = datetime.timedelta(seconds=15)
SEED = 3


def test_short_soak_finds_no_violation() -> None:
    ledger = _soak.run_soak(DURATION, SEED)
    assert not ledger.violated, ledger.describe()
