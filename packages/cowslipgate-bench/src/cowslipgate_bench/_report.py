"""Reports of figures as a table, JSON lines and a plot."""

from collections.abc import Sequence
import json
import pathlib

import attrs
import matplotlib
from matplotlib import figure

from cowslipgate_bench import _figures

matplotlib.use("agg")

EXPLANATION = """\
Responses count from the intended arrival to the whole answer; mean, median
and p99 are over the best omniscient schedule known (true sizes and speeds,
one scheduler, no latency); 'bound' is the mean over a lower bound that no
schedule can beat. Runs have no delaying links. 'wasted' are messages without
useful work for each useful one: refusals, withdrawals, inquiries, separate
acknowledgements; heartbeats stand apart. 'minute' is the busiest minute in
slot-seconds over what complete jobs used of it. 'fair' is the largest over
the smallest slowdown of a team."""

_HEADINGS = (
    "policy",
    "load",
    "jobs",
    "failed",
    "mean s",
    "mean",
    "median",
    "p99",
    "bound",
    "wasted",
    "ref",
    "wdr",
    "inq",
    "ack",
    "beats",
    "minute",
    "fair",
    "host",
)


def describe_run(run: _figures.RunFigures) -> str:
    """Return a line with the figures that the table leaves out."""
    return (
        f"ran {run.policy} at load {run.load}: "
        f"failures {dict(run.failures)}; "
        f"omniscient schedule by {run.schedule}; "
        f"processor seconds {dict(run.processor_seconds)}; "
        f"sent late by at most {run.send_delay:.3f} s"
    )


def format_table(runs: Sequence[_figures.RunFigures]) -> str:
    """Return a table with a heading and a line for each run."""
    rows = [_HEADINGS, *(_format_row(run) for run in runs)]
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    lines = []
    for row in rows:
        cells = [
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(cells))
    return "\n".join(lines)


def _format_row(run: _figures.RunFigures) -> tuple[str, ...]:
    messages = run.messages
    return (
        run.policy,
        f"{run.load:.2f}",
        str(run.jobs),
        str(sum(run.failures.values())),
        f"{run.mean_seconds:.3f}",
        f"{run.over_schedule.mean:.3f}",
        f"{run.over_schedule.median:.3f}",
        f"{run.over_schedule.tail:.3f}",
        f"{run.over_bound:.3f}",
        f"{messages.wasted_share:.4f}",
        str(messages.refusals),
        str(messages.withdrawals),
        str(messages.inquiries),
        str(messages.acknowledgements),
        str(messages.heartbeats),
        f"{run.minute.ratio:.4f}",
        f"{run.fairness:.2f}",
        f"{run.host_load:.1f}",
    )


def write_report(
    runs: Sequence[_figures.RunFigures], folder: pathlib.Path
) -> None:
    """Write ``runs.jsonl`` and ``runs.png`` into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(attrs.asdict(run)) + "\n" for run in runs]
    (folder / "runs.jsonl").write_text("".join(lines))
    _plot(runs, folder / "runs.png")


def _plot(runs: Sequence[_figures.RunFigures], path: pathlib.Path) -> None:
    drawing = figure.Figure(figsize=(10, 4))
    left, right = drawing.subplots(1, 2)
    by_policy: dict[str, list[_figures.RunFigures]] = {}
    for run in runs:
        by_policy.setdefault(run.policy, []).append(run)
    for policy, group in by_policy.items():
        loads = [run.load for run in group]
        means = [run.over_schedule.mean for run in group]
        wasted = [run.messages.wasted_share for run in group]
        left.plot(loads, means, marker="o", label=policy)
        right.plot(loads, wasted, marker="o", label=policy)
    left.set(xlabel="load", ylabel="mean response over omniscient schedule")
    left.set_yscale("log")
    right.set(xlabel="load", ylabel="wasted messages per useful one")
    left.legend()
    drawing.tight_layout()
    drawing.savefig(path)
