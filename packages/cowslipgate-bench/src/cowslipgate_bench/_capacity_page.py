"""Calculates docs/CAPACITY.md for the size that the users require."""

import math
import pathlib

import attrs
import cowslipgate_core as core
import msgspec

from cowslipgate_bench import _capacity
from cowslipgate_bench import _message_sizes

WORKERS = 2_000
ACCELERATORS = 3_300
STARTS_PER_SECOND = 95_000
TASKS_PER_JOB = 40
REGIONS = 4
DOMAINS = 11
CHANGES_PER_DAY = 3_600
IN_FORCE_SECONDS = 12
RESTARTS_PER_DAY = 220
CORE_SHARE_LIMIT = 0.035
MEMORY_LIMIT_MB = 32.0
BYTES_PER_SECOND_LIMIT = 22_000
SECONDS_PER_DAY = 86_400
ENTRY_UTILIZATION = 0.6
ENTRIES_PER_AGENT = 4
TABLE_WRITES_PER_SECOND_LIMIT = 300
TABLE_READS_PER_SECOND_LIMIT = 2_000
LEASE_SECONDS = 10
STARVED_WRITES_PER_SECOND = 1.0


@attrs.frozen
class Row:
    """One line of the page."""

    role: str
    """Role whose cost it is."""

    quantity: str
    """Name of the calculated quantity."""

    value: str
    """Calculated value, with its unit unless the quantity names it."""

    limit: str
    """Highest allowed value."""

    fits: bool
    """Whether the value is within the limit."""

    mechanism: str
    """Mechanism that keeps the value low, or what has to change."""


@attrs.frozen
class Plan:
    """Deployment at the required size."""

    entries: int
    """Entries needed for the task starts with one failure domain down."""

    agents_per_entry: int
    """Agents connected to each entry."""

    us_per_task: float
    """Processor time of an entry for each task in microseconds."""

    heartbeat_seconds: float
    """Heartbeat interval of idle links, by ``core.choose_heartbeat``."""


def plan_deployment(slopes: _capacity.Slopes) -> Plan:
    """Return the deployment that the required size needs."""
    points = dict(slopes.entry_spread_us_by_tasks.points)
    us_per_task = points[TASKS_PER_JOB] / TASKS_PER_JOB
    busy_cores = STARTS_PER_SECOND * us_per_task / 1_000_000
    needed = busy_cores / ENTRY_UTILIZATION
    entries = math.ceil(needed * DOMAINS / (DOMAINS - 1))
    agents = math.ceil(WORKERS * ENTRIES_PER_AGENT / entries)
    interval = core.choose_heartbeat(agents).total_seconds()
    return Plan(entries, agents, us_per_task, interval)


def make_rows(slopes: _capacity.Slopes, plan: Plan) -> list[Row]:
    """Return every line of the page."""
    return [
        *_make_entry_rows(slopes, plan),
        _make_heartbeat_row(slopes, plan),
        *_make_gossip_rows(slopes, plan),
        *_make_agent_rows(slopes, plan),
        *_make_table_rows(slopes, plan),
    ]


def _make_entry_rows(slopes: _capacity.Slopes, plan: Plan) -> list[Row]:
    share = slopes.entry_share_by_agents
    interval = plan.heartbeat_seconds
    control = share.base + share.slope * plan.agents_per_entry / interval
    memory = slopes.entry_memory_by_agents
    resident = memory.base + memory.slope * plan.agents_per_entry
    return [
        Row(
            "entry",
            "processor time for each task",
            f"{plan.us_per_task:.0f} us in jobs of {TASKS_PER_JOB}",
            "200 us",
            plan.us_per_task <= 200,
            "late binding; one message an agent a pass",
        ),
        _make_limit_row(
            "entry",
            f"control share of a core with {plan.agents_per_entry} agents, "
            f"a heartbeat every {interval:.1f} s",
            control,
            CORE_SHARE_LIMIT,
            "heartbeat interval grows with the number of agents",
        ),
        _make_limit_row(
            "entry",
            f"resident memory with {plan.agents_per_entry} agents, MB",
            resident,
            MEMORY_LIMIT_MB,
            "agents of a subset only; "
            f"{memory.slope * 1000:.0f} KB for each agent",
        ),
    ]


def _make_heartbeat_row(slopes: _capacity.Slopes, plan: Plan) -> Row:
    pair = slopes.report_bytes + slopes.beat_bytes
    return _make_limit_row(
        "entry",
        f"heartbeats of {plan.agents_per_entry} idle agents, bytes a second",
        plan.agents_per_entry * pair / plan.heartbeat_seconds,
        BYTES_PER_SECOND_LIMIT,
        "the entry tells its agents the interval",
    )


def _make_gossip_rows(slopes: _capacity.Slopes, plan: Plan) -> list[Row]:
    gossip_peers = min(plan.entries - 1, core.GOSSIP_FANOUT)
    lapse = core.compute_member_expiry(plan.entries - 1).total_seconds()
    members = slopes.gossip_member_bytes * plan.entries
    # The member list is sent to one peer every 3 s.
    gossip = 2 * (slopes.gossip_base_bytes * gossip_peers + members / 3)
    lease = (
        slopes.lease_base_bytes
        + slopes.lease_team_bytes * _message_sizes.TEAMS
    )
    # Each renewal reads and writes the whole row.
    leases = 2 * lease * plan.entries / LEASE_SECONDS
    share = slopes.entry_share_by_entries
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    push = changes * slopes.push_bytes * (plan.entries - 1)
    beats = changes * slopes.beat_bytes * plan.agents_per_entry
    return [
        _make_limit_row(
            "entry",
            "gossip and lease row, bytes a second, both ways",
            gossip + leases,
            BYTES_PER_SECOND_LIMIT,
            f"gossip once a second to {gossip_peers} entries in turn, so "
            f"that a silent one lapses after {lapse:.0f} s; the member list "
            "to one; quotas divided in the lease row",
        ),
        _make_limit_row(
            "entry",
            f"share of a core for gossip with {plan.entries} entries",
            share.base + share.slope * gossip_peers,
            CORE_SHARE_LIMIT,
            "links to every entry, gossip in turn",
        ),
        _make_limit_row(
            "entry",
            "configuration pushed, bytes a second, all patches at one entry",
            push + beats,
            BYTES_PER_SECOND_LIMIT,
            f"push on storing; {changes * IN_FORCE_SECONDS:.1f} changes in "
            f"any {IN_FORCE_SECONDS} s",
        ),
    ]


def _make_agent_rows(slopes: _capacity.Slopes, plan: Plan) -> list[Row]:
    starts = STARTS_PER_SECOND / WORKERS
    share = slopes.agent_share_by_entries
    memory = slopes.agent_memory_by_entries
    tasks = starts * slopes.agent_us_per_task / 1_000_000
    interval = plan.heartbeat_seconds
    pair = slopes.report_bytes + slopes.beat_bytes
    return [
        _make_limit_row(
            "agent",
            f"idle share of a core with {ENTRIES_PER_AGENT} entries",
            share.base + share.slope * ENTRIES_PER_AGENT,
            CORE_SHARE_LIMIT,
            "one timer; heartbeats on idle links",
        ),
        _make_limit_row(
            "agent",
            f"share of a core for {starts:.1f} tasks a second",
            tasks,
            CORE_SHARE_LIMIT,
            "one HTTP call and one result a task",
        ),
        _make_limit_row(
            "agent",
            f"resident memory with {ENTRIES_PER_AGENT} entries, MB",
            memory.base + memory.slope * ENTRIES_PER_AGENT,
            MEMORY_LIMIT_MB,
            "no command line and no tracing in the agent",
        ),
        _make_limit_row(
            "agent",
            "heartbeats, bytes a second",
            ENTRIES_PER_AGENT * pair / interval,
            BYTES_PER_SECOND_LIMIT,
            "as for the entry",
        ),
    ]


def _make_table_rows(slopes: _capacity.Slopes, plan: Plan) -> list[Row]:
    reads = slopes.table_reads_by_entries
    writes = slopes.table_writes_by_entries
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    restarts = RESTARTS_PER_DAY / SECONDS_PER_DAY
    return [
        _make_limit_row(
            "table service",
            "reads a second, leases and configuration",
            reads.base + reads.slope * plan.entries + 3 * changes + restarts,
            TABLE_READS_PER_SECOND_LIMIT,
            "the configuration every 4 s, the lease row every 10 s",
        ),
        _make_limit_row(
            "table service",
            "writes a second, leases and patches, without claims",
            writes.base + writes.slope * plan.entries + changes + restarts,
            TABLE_WRITES_PER_SECOND_LIMIT,
            "one lease row changed by compare-and-set",
        ),
        _make_limit_row(
            "table service",
            "writes a second while every entry is starved of a quota",
            STARVED_WRITES_PER_SECOND * plan.entries,
            TABLE_WRITES_PER_SECOND_LIMIT,
            "a starved entry renews once a second; conflicts add reads",
        ),
    ]


def _make_limit_row(
    role: str, quantity: str, value: float, limit: float, mechanism: str
) -> Row:
    return Row(
        role,
        quantity,
        _format_value(value),
        _format_value(limit),
        value <= limit,
        mechanism,
    )


def _format_value(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def write_page(slopes: _capacity.Slopes, folder: pathlib.Path) -> None:
    """Write the page's tables and ``capacity.json`` into ``folder``."""
    plan = plan_deployment(slopes)
    encoded = msgspec.json.format(msgspec.json.encode(slopes), indent=1)
    (folder / "capacity.json").write_bytes(encoded + b"\n")
    page = folder / "CAPACITY.md"
    head, marker, tail = page.read_text().partition(MARKER)
    _, end, tail = tail.partition(END_MARKER)
    body = "\n".join(_make_lines(slopes, plan))
    page.write_text(f"{head}{marker}\n\n{body}\n\n{end}{tail}")


MARKER = "<!-- made by make capacity -->"
END_MARKER = "<!-- end of what make capacity made -->"


def _make_lines(slopes: _capacity.Slopes, plan: Plan) -> list[str]:
    lines = [
        f"Measured at {slopes.measured_at}.",
        "",
        f"Needed: {plan.entries} entries of one core each, loaded to "
        f"{ENTRY_UTILIZATION:.0%} with one failure domain down; "
        f"{plan.agents_per_entry} agents at each entry, "
        f"{ENTRIES_PER_AGENT} entries at each agent.",
        "",
        "| role | quantity | at the letter's size | limit | fits "
        "| mechanism |",
        "|---|---|---|---|---|---|",
    ]
    for row in make_rows(slopes, plan):
        fits = "yes" if row.fits else "**no**"
        lines.append(
            f"| {row.role} | {row.quantity} | {row.value} | {row.limit} "
            f"| {fits} | {row.mechanism} |"
        )
    lines += ["", "| measured slope | base | for each unit | points |"]
    lines.append("|---|---|---|---|")
    for field in attrs.fields(_capacity.Slopes):
        value = getattr(slopes, field.name)
        if isinstance(value, _capacity.Line):
            points = ", ".join(f"{x:g}: {y:.4g}" for x, y in value.points)
            lines.append(
                f"| {field.name} | {value.base:.4g} | {value.slope:.4g} "
                f"| {points} |"
            )
        elif field.name != "measured_at":
            lines.append(f"| {field.name} | {value:.4g} | | |")
    return lines


def run_capacity(folder: pathlib.Path, slopes_file: pathlib.Path) -> None:
    """Write the page from ``slopes_file``, or measure if it is no file."""
    if slopes_file.is_file():
        slopes = msgspec.json.decode(
            slopes_file.read_bytes(), type=_capacity.Slopes
        )
    else:
        slopes = _capacity.measure_slopes()
    write_page(slopes, folder)
