"""The whole path with real processes."""

import pathlib

from cowslipgate_bench import _demo


def test_demo_keeps_every_promise(
    tmp_path: pathlib.Path, capfd: object
) -> None:
    _demo.run_demo()
