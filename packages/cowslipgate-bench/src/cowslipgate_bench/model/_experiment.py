"""A grid of policies, patterns and loads, and its report."""

from collections.abc import Iterator, Sequence
import itertools
import json
import pathlib

import attrs
import cowslipgate_core as core
import matplotlib
from matplotlib import figure

from cowslipgate_bench.model import _bound
from cowslipgate_bench.model import _day
from cowslipgate_bench.model import _sites

matplotlib.use("agg")


@attrs.frozen
class Variant:
    """A policy, with the knowledge that entries have."""

    policy: core.Policy
    """Policy by which entries choose targets."""

    central: bool = False
    """Whether a single entry serves all callers, without latencies."""

    exact_estimates: bool = False
    """Whether entries have the true sizes and speeds."""

    def make_day(
        self,
        site: _sites.Site,
        pattern: str,
        load: float,
        seconds: float,
        seed: int = 1,
    ) -> _day.Day:
        """Return a day; for the parameters see the fields of ``Day``."""
        return _day.Day(
            site,
            _sites.PATTERNS[pattern],
            self.policy,
            load,
            seconds,
            seed,
            self.central,
            self.exact_estimates,
        )


VARIANTS = {
    "in_turn": Variant(core.RoundRobin()),
    "late_binding": Variant(core.LateBinding()),
    "matching": Variant(core.Matching()),
    "knowing": Variant(core.Matching(), exact_estimates=True),
    "central": Variant(core.Matching(), central=True),
    "omniscient": Variant(core.Matching(), central=True, exact_estimates=True),
}
"""The baseline policy first; ``central`` is the reference, and the variants
with exact estimates show the effect of better knowledge."""

BOUND_COLUMNS = 7
"""Number of columns up to the worth, the only figure of a bound."""

COLUMNS = (
    "pattern",
    "load",
    "policy",
    "requests",
    "in time",
    "late",
    "worth",
    "worst kind",
    "median ms",
    "p99 ms",
    "refused",
    "stalled",
)


@attrs.frozen
class Plan:
    """The grid of days to simulate."""

    site: _sites.Site
    """The deployment."""

    policies: tuple[str, ...]
    """Keys of ``VARIANTS``."""

    patterns: tuple[str, ...]
    """Keys of ``PATTERNS``."""

    loads: tuple[float, ...]
    """Multiples of the site's traffic."""

    seconds: float = 30.0
    """Seconds of traffic per day."""

    seed: int = 1
    """Seed of each day."""


@attrs.frozen
class Experiment:
    """Figures of one day of the grid."""

    pattern: str
    """Name of the pattern."""

    load: float
    """Multiple of the site's traffic."""

    policy: str
    """Name of the policy."""

    figures: _day.DayFigures
    """Figures of the day."""


def run_experiment(plan: Plan) -> Iterator[Experiment]:
    """Simulate every day of a grid; the same day for each policy."""
    for pattern, load, policy in itertools.product(
        plan.patterns, plan.loads, plan.policies
    ):
        day = VARIANTS[policy].make_day(
            plan.site, pattern, load, plan.seconds, plan.seed
        )
        yield Experiment(pattern, load, policy, _day.simulate_day(day))


def format_bounds(plan: Plan) -> Iterator[str]:
    """Return, for each day, a row with the upper bound on the worth."""
    for pattern, load in itertools.product(plan.patterns, plan.loads):
        day = VARIANTS["omniscient"].make_day(
            plan.site, pattern, load, plan.seconds, plan.seed
        )
        worth = f"{_bound.bound_worth(day):.3f}"
        blank = [""] * (len(COLUMNS) - BOUND_COLUMNS)
        cells = [pattern, f"{load:g}", "bound", "", "", "", worth, *blank]
        yield f"| {' | '.join(cells)} |"


def format_row(experiment: Experiment) -> str:
    """Return the row of one day."""
    figures = experiment.figures
    cells = (
        experiment.pattern,
        f"{experiment.load:g}",
        experiment.policy,
        str(figures.requests),
        f"{figures.in_time:.3f}",
        f"{figures.late:.3f}",
        f"{figures.worth:.3f}",
        f"{figures.worst_kind:.3f}",
        f"{figures.median_ms:.0f}",
        f"{figures.p99_ms:.0f}",
        f"{figures.refused:.3f}",
        str(figures.stalled),
    )
    return f"| {' | '.join(cells)} |"


def format_table(experiments: Sequence[Experiment]) -> str:
    """Return all rows with their heading, as a Markdown table."""
    heading = f"| {' | '.join(COLUMNS)} |"
    rule = f"|{'---|' * len(COLUMNS)}"
    return "\n".join([heading, rule, *map(format_row, experiments)])


def write_report(
    experiments: Sequence[Experiment], folder: pathlib.Path
) -> None:
    """Write ``experiments.jsonl`` and ``experiments.png`` into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(attrs.asdict(e)) + "\n" for e in experiments]
    (folder / "experiments.jsonl").write_text("".join(lines))
    _plot(experiments, folder / "experiments.png")


def _plot(experiments: Sequence[Experiment], path: pathlib.Path) -> None:
    patterns = list(dict.fromkeys(e.pattern for e in experiments))
    policies = list(dict.fromkeys(e.policy for e in experiments))
    drawing = figure.Figure(figsize=(3.2 * len(patterns), 3.2))
    plots = drawing.subplots(1, len(patterns), sharey=True, squeeze=False)
    for plot, pattern in zip(plots[0], patterns, strict=True):
        for policy in policies:
            group = [
                e
                for e in experiments
                if (e.pattern, e.policy) == (pattern, policy)
            ]
            loads = [e.load for e in group]
            worths = [e.figures.worth for e in group]
            plot.plot(loads, worths, marker="o", label=policy)
        plot.set(title=pattern, xlabel="load", ylim=(0, 1.05))
    plots[0][0].set_ylabel("worth earned")
    plots[0][0].legend()
    drawing.tight_layout()
    drawing.savefig(path)
