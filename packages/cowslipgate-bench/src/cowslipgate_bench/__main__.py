"""Command line of the bench."""

import json

import cyclopts

from cowslipgate_bench import _agents
from cowslipgate_bench import _balancer
from cowslipgate_bench import _demo
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
def agents(service: str, prefix: str, count: int, balancer: int) -> None:
    """Serve stand-ins of many agents whose tasks take no time."""
    _agents.run_agents(service, prefix, count, balancer)


@app.command
def balancer(port: int, *entries: int) -> None:
    """Serve the stand-in of the platform's balancer."""
    _balancer.run_balancer(port, list(entries))


@app.command
def demo() -> None:
    """Show a whole deployment at work."""
    _demo.run_demo()


app()
