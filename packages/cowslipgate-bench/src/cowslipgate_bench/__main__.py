"""Command line of ``cowslipgate-bench``."""

import datetime
import json
import pathlib

import cyclopts

from cowslipgate_bench import _agents
from cowslipgate_bench import _balancer
from cowslipgate_bench import _capacity_page
from cowslipgate_bench import _control_cost
from cowslipgate_bench import _demo
from cowslipgate_bench import _interfaces
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
    """Serve the stand-in of a target, with ``TargetOptions`` as JSON."""
    _target.run_target(_target.TargetOptions(**json.loads(options)))


@app.command
def agents(
    service: str,
    prefix: str,
    count: int,
    balancer: int,
    longest_ms: float = 0.0,
) -> None:
    """Serve stand-ins of many agents in one process, without targets."""
    longest_run = datetime.timedelta(milliseconds=longest_ms)
    _agents.run_agents(service, prefix, count, balancer, longest_run)


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

    With ``slopes``, calculate the page from this file and measure nothing.
    """
    _capacity_page.run_capacity(folder, slopes)


@app.command
def demo() -> None:
    """Run a whole deployment and check what it does, step by step."""
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
    """Compare policies on real processes.

    :param policies: names of policies, separated by commas
    :param loads: offered work divided by the targets' capacity
    :param seed: seed of the trace
    :param seconds: seconds of measured arrivals
    :param warm_up: seconds of arrivals before the measured ones
    :param profile: shape of the arrivals
    :param weights: the service's weights of response and waste
    :param bad_targets: make one target fail and one ten times slower
    :param wave: cancel labelled jobs half-way
    :param entries: number of entries
    :param queue_limit: queue limit of the agents
    :param folder: where JSON lines and a plot are written
    """
    # Imported here so that the stand-ins, which share this command line,
    # start fast.
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
    """Simulate policies, patterns and loads, without processes.

    :param site: al-haddad or schelde
    :param policies: names of policies, separated by commas
    :param patterns: names of patterns, separated by commas
    :param loads: multiples of the site's traffic
    :param seconds: simulated seconds of traffic
    :param seed: seed of the traffic
    :param folder: where JSON lines and a plot are written
    :param bound: also print what no schedule can exceed; takes 15 s for
        each pattern and load
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
    for result in model.run_experiment(plan):
        experiments.append(result)
        print(model.format_row(result), flush=True)
    print(model.format_table(experiments))
    if folder is not None:
        model.write_report(experiments, folder)
    if bound:
        print(*model.format_bounds(plan), sep="\n")


@app.command
def soak(minutes: float = 5.0, seed: int = 1) -> None:
    """Inject random faults under load and check every answer."""
    _soak.print_soak(minutes, seed)


@app.command
def fault_soak(
    first: int = 1,
    count: int = 10,
    rounds: int = 6,
    *,
    entries: int = 2,
    agents: int = 3,
) -> None:
    """Inject faults into both programs behind the platform's protocols.

    :param first: first seed
    :param count: number of seeds
    :param rounds: rounds of faults for each seed, about 4 s each
    :param entries: number of entries, eight at most
    :param agents: number of agents, each with a target
    """
    fleet = faultsoak.Fleet(entries, agents)
    faultsoak.print_soak(range(first, first + count), rounds, fleet)


@app.command
def interfaces() -> None:
    """Generate docs/INTERFACES.txt, all that leaves a process."""
    _interfaces.write_interfaces()


@app.command
def settings_page() -> None:
    """Generate docs/SETTINGS.md from the classes of the settings."""
    _settings_page.write_page()


@app.command
def measure_control() -> None:
    """Measure memory, processor time and traffic of idle nodes.

    Exits with a non-zero status when a node is over a limit.
    """
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
    """Print an entry's cost of a task under the load of ``capacity``.

    :param tasks: tasks of a job
    :param agents: number of agents, without targets
    :param longest_ms: longest run time of a task in milliseconds
    :param connections: callers, each with one job at a time
    :param runs: number of measurements
    """
    from cowslipgate_bench import _task_cost

    load = _task_cost.Load(tasks, agents, longest_ms, connections)
    _task_cost.print_task_cost(load, runs)


@app.command
def decision_cost() -> None:
    """Print processor times of decisions with 11 and 2,000 targets."""
    from cowslipgate_bench import _decision_cost
    from cowslipgate_bench import _preemption_cost

    costs = _decision_cost.measure_costs((11, 2_000))
    print(_decision_cost.format_costs(costs))
    print(_preemption_cost.format_costs(_preemption_cost.measure_costs()))


app()
