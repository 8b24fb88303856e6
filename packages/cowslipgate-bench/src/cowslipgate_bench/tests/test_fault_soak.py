"""Seeded faults on entries and agents, checked by answers and runs."""

import pathlib

import pytest

from cowslipgate_bench import faultsoak

ROUNDS = 3
"""Rounds of faults per seed; some 20 s."""


@pytest.mark.parametrize("seed", [1, 2])
def test_faults_violate_no_guarantee(
    seed: int, tmp_path: pathlib.Path
) -> None:
    result = faultsoak.run_seed(tmp_path, seed, ROUNDS)
    assert not result.violations, result.describe()
