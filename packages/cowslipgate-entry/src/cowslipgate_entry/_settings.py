"""Settings of the entry."""

import datetime

import attrs

import cowslipgate_core as core

_NAME = "1 to 64 letters, digits, dots, dashes or underscores"
_BIND = "an IP number and port such as 10.0.0.1:8080"
_DURATION = "a duration such as 500ms or 10s"
POLICIES = ("late_binding", "least_completion", "matching", "round_robin")
_COUNT = "a whole number, 1 or more"
_KEY = "40 characters of a ZeroMQ key, or empty"


@attrs.frozen
class EntrySettings(core.CheckedSettings):
    """Settings of ``cowslipgate serve``."""

    domain: str = core.setting(
        core.parse_name, _NAME, "failure domain that the entry is in"
    )
    """Failure domain of the entry."""

    region: str = core.setting(
        core.parse_name,
        _NAME,
        "region of the failure domain; most links stay in it",
        "default",
    )
    """Region of the failure domain."""

    platform: core.Bind = core.setting(
        core.parse_bind, _BIND, "address of the platform's table service"
    )
    """Address of the platform's table service."""

    balancer: core.Bind = core.setting(
        core.parse_bind,
        _BIND,
        "address of the balancer in front of the entries",
    )
    """Address of the balancer in front of the entries."""

    bind_http: core.Bind = core.setting(
        core.parse_bind,
        _BIND,
        "where callers and operators connect",
        "127.0.0.1:8080",
    )
    """HTTP address for callers and operators."""

    bind_internal: core.Bind = core.setting(
        core.parse_bind,
        _BIND,
        "where agents and other entries connect",
        "127.0.0.1:8081",
    )
    """ZeroMQ address for agents and other entries."""

    advertise_internal: str = core.setting(
        core.parse_advertised,
        _BIND + ", or empty",
        "address told to agents and other entries instead of bind-internal",
        "",
    )
    """Address published instead of ``bind_internal``, or empty."""

    inquiry_interval: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "age at which an agent is asked about an attempt",
        "2s",
    )
    """Age of an attempt at which its agent is asked for the state."""

    agent_suspect_after: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "silence after which an agent gets no new work",
        "5s",
    )
    """Time without messages after which an agent gets no new work."""

    agent_lost_after: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "silence after which an agent's attempts count as unknown",
        "20s",
    )
    """Time without messages after which attempts count as unknown."""

    operator_digest: str = core.setting(
        core.parse_digest,
        "a SHA-256 digest in hexadecimal, or empty",
        "digest of a token that is always an operator's",
        "",
    )
    """Digest of a token with operator access always, or empty."""

    policy: str = core.setting(
        core.parse_choice(*POLICIES),
        ", ".join(POLICIES),
        "how targets are chosen",
        "matching",
    )
    """Placement policy, one of ``POLICIES``."""

    keep_estimates: str = core.setting(
        core.parse_choice("off", "on"),
        "off or on",
        "whether sizes and speeds are kept in a store that has tables of "
        "rows, for entries that start",
        "off",
    )
    """Whether estimates are kept in the store, ``on`` or ``off``."""

    drain_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "longest time that a planned stop waits for jobs in flight",
        "60s",
    )
    """Longest time that a planned stop waits for jobs in flight."""

    drain_delay: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "shortest time between the start of a planned stop and its end, "
        "longer than the balancer takes to notice a failing health check",
        "2s",
    )
    """Shortest planned stop; the balancer must see a failing health check."""

    max_connections: int = core.setting(
        core.parse_positive, _COUNT, "most caller connections at once", "1024"
    )
    """Largest number of open caller connections."""

    max_body_bytes: int = core.setting(
        core.parse_positive,
        _COUNT,
        "largest body of a request in bytes",
        "8388608",
    )
    """Largest body of a request in bytes."""

    max_header_bytes: int = core.setting(
        core.parse_positive,
        _COUNT,
        "largest request line with headers in bytes",
        "16384",
    )
    """Largest request line with headers in bytes."""

    max_headers: int = core.setting(
        core.parse_positive, _COUNT, "most headers of a request", "64"
    )
    """Largest number of headers in a request."""

    request_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "time in which a request must arrive whole",
        "30s",
    )
    """Time limit for receiving a complete request."""

    send_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "time in which a caller must read its answer",
        "30s",
    )
    """Time limit for a caller to read its answer."""

    idle_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "time after which an idle connection is closed",
        "120s",
    )
    """Time after which an idle connection is closed."""

    log_format: str = core.setting(
        core.parse_choice("json", "console"),
        "json or console",
        "form of the log lines on standard error",
        "console",
    )
    """Format of the log lines on standard error."""

    log_level: str = core.setting(
        core.parse_choice("info", "warning", "error"),
        "info, warning or error",
        "least severe log lines that are written",
        "info",
    )
    """Lowest severity of the log lines written."""

    trace_output: str = core.setting(
        core.parse_text,
        "a file name, or - for standard output, or empty for no traces",
        "where spans are appended as JSON lines",
        "",
    )
    """Destination of spans as JSON lines; empty writes none."""

    trace_ratio: float = core.setting(
        core.parse_fraction,
        "a number from 0 to 1",
        "share of jobs traced when the caller sends no traceparent",
        "0.001",
    )
    """Share of jobs traced when the caller sends no traceparent."""

    cluster_token: str = core.setting(
        core.parse_text,
        "any text, the same at every entry and agent, or empty",
        "token that entries and agents need to read the list of members",
        "",
        secret=True,
    )
    """Token that entries and agents need to read the members, or empty."""

    curve_secret_key: str = core.setting(
        core.parse_curve_key,
        _KEY,
        "secret key of all entries on the internal address",
        "",
        secret=True,
    )
    """Secret key of all entries on the internal address, or empty."""

    curve_agent_keys: tuple[str, ...] = core.setting(
        core.parse_curve_keys,
        "ZeroMQ keys of 40 characters, separated by blanks",
        "public keys of the agents that may connect",
        "",
    )
    """Public keys of the agents that may connect."""

    def find_faults(self) -> list[core.SettingFault]:
        """Return the faults of settings that contradict each other."""
        faults = []
        if self.bind_internal.port and self.bind_http == self.bind_internal:
            fault = core.SettingFault(
                "--bind-internal",
                str(self.bind_internal),
                "another address than --bind-http",
            )
            faults.append(fault)
        if self.curve_agent_keys and not self.curve_secret_key:
            fault = core.SettingFault(
                "--curve-secret-key", "", "set when --curve-agent-keys is"
            )
            faults.append(fault)
        if self.drain_delay >= self.drain_timeout:
            fault = core.SettingFault(
                "--drain-delay",
                f"{self.drain_delay.total_seconds()}s",
                "shorter than --drain-timeout",
            )
            faults.append(fault)
        if self.max_header_bytes > self.max_body_bytes:
            fault = core.SettingFault(
                "--max-header-bytes",
                str(self.max_header_bytes),
                "no more than --max-body-bytes",
            )
            faults.append(fault)
        return faults
