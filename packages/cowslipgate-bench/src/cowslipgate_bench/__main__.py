"""Command line of the bench."""

import datetime
import json
import pathlib

import cyclopts

from cowslipgate_bench import _agents
from cowslipgate_bench import _balancer
from cowslipgate_bench import _capacity_page
from cowslipgate_bench import _demo
from cowslipgate_bench import _settings_page
from cowslipgate_bench import _soak
from cowslipgate_bench import _table
from cowslipgate_bench import _target

app = cyclopts.App(name="cowslipgate-bench", help="Tools around cowslipgate.")


@app.command
def table(port: int = 0) -> None:
    """Serve the stand-in of the platform's table service."""
    _table.run_table(port)


@app.command
def target(options: str) -> None:
    """Serve the stand-in of a target; the options are JSON."""
    _target.run_target(_target.TargetOptions(**json.loads(options)))


@app.command
def agents(
    service: str,
    prefix: str,
    count: int,
    balancer: int,
    longest_ms: float = 0.0,
) -> None:
    """Serve stand-ins of many agents without targets."""
    longest = datetime.timedelta(milliseconds=longest_ms)
    _agents.run_agents(service, prefix, count, balancer, longest)


@app.command
def balancer(port: int, *entries: int) -> None:
    """Serve the stand-in of the platform's balancer."""
    _balancer.run_balancer(port, list(entries))


@app.command
def capacity(
    folder: pathlib.Path = pathlib.Path("docs"),
    slopes: pathlib.Path = pathlib.Path(),
) -> None:
    """Measure slopes and write the capacity page into a folder.

    Given a file of slopes, work the page out from these.
    """
    _capacity_page.run_capacity(folder, slopes)


@app.command
def demo() -> None:
    """Show a whole deployment at work."""
    _demo.run_demo()


@app.command
def soak(minutes: float = 5.0, seed: int = 1) -> None:
    """Mix every fault under load and judge what became of it."""
    _soak.print_soak(minutes, seed)


@app.command
def settings_page() -> None:
    """Write docs/SETTINGS.md from the settings' classes."""
    _settings_page.write_page()


app()
