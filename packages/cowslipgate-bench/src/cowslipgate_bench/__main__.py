"""Command line of the bench."""

import datetime
import json
import pathlib

import cyclopts

from cowslipgate_bench import _agents
from cowslipgate_bench import _balancer
from cowslipgate_bench import _capacity_page
from cowslipgate_bench import _control_cost
from cowslipgate_bench import _demo
from cowslipgate_bench import _settings_page
from cowslipgate_bench import _soak
from cowslipgate_bench import _table
from cowslipgate_bench import _target
from cowslipgate_bench import _workload
from cowslipgate_bench import faultsoak

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
def bench(
    *,
    policies: str = "round_robin,late_binding,matching",
    loads: str = "0.5,0.7,0.9",
    seed: int = 1,
    seconds: float = 30.0,
    warm_up: float = 8.0,
    profile: _workload.Profile = _workload.Profile.STEADY,
    weights: tuple[float, float] | None = None,
    bad_targets: bool = False,
    wave: bool = False,
    entries: int = 3,
    queue_limit: int | None = None,
    folder: pathlib.Path | None = None,
) -> None:
    """Measure policies side by side on real processes.

    :param policies: names of policies, separated by commas
    :param loads: work offered over what the targets can do
    :param seed: seed of the trace
    :param seconds: seconds of measured arrivals
    :param warm_up: seconds of arrivals before those
    :param profile: shape of the arrivals
    :param weights: weights of response and waste of the service
    :param bad_targets: let one target fail and one be ten times slower
    :param wave: cancel labelled jobs half-way
    :param entries: number of entries
    :param queue_limit: queue limit of the agents
    :param folder: where JSON lines and a plot are written
    """
    # The stand-ins share this command line and must start fast.
    from cowslipgate_bench import _bench
    from cowslipgate_bench import _report

    options = _bench.BenchOptions(
        tuple(policies.split(",")),
        tuple(float(load) for load in loads.split(",")),
        seed,
        seconds,
        warm_up,
        profile,
        weights,
        bad_targets,
        wave,
        entries,
        queue_limit=queue_limit,
    )
    runs = []
    for run in _bench.run_bench(options):
        runs.append(run)
        print(_report.describe_run(run), flush=True)
    print(_report.EXPLANATION)
    print(_report.format_table(runs))
    if folder is not None:
        _report.write_report(runs, folder)


@app.command
def experiment(
    *,
    site: str = "al-haddad",
    policies: str = "in_turn,late_binding,matching,knowing,central,omniscient",
    patterns: str = "calm,burst,slow,hang,fail,lost-orders",
    loads: str = "0.8,1.0,1.2",
    seconds: float = 30.0,
    seed: int = 1,
    folder: pathlib.Path | None = None,
    bound: bool = False,
) -> None:
    """Play policies, patterns and loads on a model, without processes.

    :param site: al-haddad or schelde
    :param policies: names of policies, separated by commas
    :param patterns: names of patterns, separated by commas
    :param loads: multiples of the site's traffic
    :param seconds: seconds of traffic of each day
    :param seed: seed of each day
    :param folder: where JSON lines and a plot are written
    :param bound: work out too what no schedule exceeds, 15 s for a day
    """
    from cowslipgate_bench import model

    plan = model.Plan(
        model.SITES[site],
        tuple(policies.split(",")),
        tuple(patterns.split(",")),
        tuple(float(load) for load in loads.split(",")),
        seconds,
        seed,
    )
    experiments = []
    for played in model.run_experiment(plan):
        experiments.append(played)
        print(model.format_row(played), flush=True)
    print(model.format_table(experiments))
    if folder is not None:
        model.write_report(experiments, folder)
    if bound:
        print(*model.format_bounds(plan), sep="\n")


@app.command
def soak(minutes: float = 5.0, seed: int = 1) -> None:
    """Mix every fault under load and judge what became of it."""
    _soak.print_soak(minutes, seed)


@app.command
def fault_soak(first: int = 1, count: int = 10, rounds: int = 6) -> None:
    """Strike both programs behind the platform's protocols, seed by seed.

    :param first: first seed
    :param count: number of seeds
    :param rounds: rounds of faults for each, of some 4 s
    """
    faultsoak.print_soak(range(first, first + count), rounds)


@app.command
def settings_page() -> None:
    """Write docs/SETTINGS.md from the settings' classes."""
    _settings_page.write_page()


@app.command
def measure_control() -> None:
    """Measure what an idle deployment costs each node for control."""
    _control_cost.run_measurement()


@app.command
def task_cost(
    *,
    tasks: int = 40,
    agents: int = 200,
    longest_ms: float = 200.0,
    connections: int = 24,
    runs: int = 3,
) -> None:
    """Print what a task costs an entry under the load of ``capacity``.

    :param tasks: tasks of a job
    :param agents: number of agents, without targets
    :param longest_ms: longest run time of a task
    :param connections: callers that submit one job after the other
    :param runs: number of measurements
    """
    from cowslipgate_bench import _task_cost

    load = _task_cost.Load(tasks, agents, longest_ms, connections)
    _task_cost.print_task_cost(load, runs)


@app.command
def decision_cost() -> None:
    """Print the processor time of decisions at 11 and 2,000 targets."""
    from cowslipgate_bench import _decision_cost

    costs = _decision_cost.measure_costs((11, 2_000))
    print(_decision_cost.format_costs(costs))


app()
