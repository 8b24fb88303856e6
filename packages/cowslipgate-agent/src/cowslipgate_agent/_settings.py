"""Settings of the agent."""

import datetime

import attrs

import cowslipgate_core as core


@attrs.frozen
class AgentSettings(core.CheckedSettings):
    """Settings of ``cowslipgate-agent``."""

    name: str = core.setting(
        core.parse_name,
        "1 to 64 letters, digits, dots, dashes or underscores",
        "name of the agent, stable over restarts",
    )
    """Name of the agent, stable over restarts."""

    domain: str = core.setting(
        core.parse_name,
        "1 to 64 letters, digits, dots, dashes or underscores",
        "failure domain that the agent is in",
    )
    """Failure domain that the agent is in."""

    region: str = core.setting(
        core.parse_name,
        "1 to 64 letters, digits, dots, dashes or underscores",
        "region of the failure domain; most links stay in it",
        "default",
    )
    """Region of the failure domain; most links stay in it."""

    balancer: core.Bind = core.setting(
        core.parse_bind,
        "an IP number and port such as 10.0.0.1:8080",
        "address of the balancer in front of the entries",
    )
    """Address of the balancer in front of the entries."""

    bind_target: core.Bind = core.setting(
        core.parse_bind,
        "a loopback IP number and port such as 127.0.0.1:7070",
        "where the target announces itself",
        "127.0.0.1:7070",
    )
    """Loopback address at which the target announces itself."""

    entries: int = core.setting(
        core.parse_positive,
        "a whole number, 1 or more",
        "number of entries to connect to",
        "4",
    )
    """Number of entries to connect to."""

    queue_limit: int = core.setting(
        core.parse_count,
        "a whole number, 0 or more",
        "tasks that may queue beyond the target's slots",
        "16",
    )
    """Tasks that may queue beyond the target's slots."""

    heartbeat: datetime.timedelta = core.setting(
        core.parse_duration,
        "a duration such as 500ms or 1s",
        "interval of heartbeats on idle links",
        "1s",
    )
    """Heartbeat interval; entries may ask for a longer one on idle links."""

    entry_lost_after: datetime.timedelta = core.setting(
        core.parse_duration,
        "a duration such as 20s",
        "age of an entry's last confirmation at which its tasks are stopped",
        "20s",
    )
    """Time since the newest message was sent that an entry has confirmed,
    after which its tasks are stopped."""

    link_expires_after: datetime.timedelta = core.setting(
        core.parse_duration,
        "a duration such as 20s",
        "silence after which an entry's delayed orders are refused",
        "20s",
    )
    """Silence of an entry after which orders sent before it are refused: less
    than the time after which an entry that stopped sending to this agent
    counts its attempts as lost."""

    target_lapse: datetime.timedelta = core.setting(
        core.parse_duration,
        "a duration such as 6s",
        "silence after which the target counts as absent",
        "6s",
    )
    """Time without an announcement after which the target counts as absent."""

    task_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        "a duration such as 60s",
        "longest run time of a task",
        "60s",
    )
    """Longest run time of a task."""

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
        "40 characters of a ZeroMQ key, or empty",
        "secret key of the agent",
        "",
        secret=True,
    )
    """Secret key of the agent, or empty."""

    curve_entry_key: str = core.setting(
        core.parse_curve_key,
        "40 characters of a ZeroMQ key, or empty",
        "public key that all entries share",
        "",
    )
    """Public key that all entries share, or empty."""

    def find_faults(self) -> list[core.SettingFault]:
        """Return the faults that involve more than one field."""
        faults = []
        if bool(self.curve_secret_key) != bool(self.curve_entry_key):
            fault = core.SettingFault(
                "--curve-entry-key",
                self.curve_entry_key,
                "set together with --curve-secret-key",
            )
            faults.append(fault)
        if self.heartbeat >= self.target_lapse:
            fault = core.SettingFault(
                "--heartbeat",
                f"{self.heartbeat.total_seconds()}s",
                "shorter than --target-lapse",
            )
            faults.append(fault)
        return faults
