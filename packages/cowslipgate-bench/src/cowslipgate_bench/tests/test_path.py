"""The demo of the whole path, with real processes."""

import pathlib

from cowslipgate_bench import _demo


def test_demo_finds_no_violation(
    tmp_path: pathlib.Path, capfd: object
) -> None:
    _demo.run_demo()
