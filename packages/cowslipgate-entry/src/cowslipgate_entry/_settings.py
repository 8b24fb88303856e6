"""Settings of the entry."""

import datetime

import attrs

import cowslipgate_core as core

_NAME = "1 to 64 letters, digits, dots, dashes or underscores"
_BIND = "an IP number and port such as 10.0.0.1:8080"
_DURATION = "a duration such as 500ms or 10s"
POLICIES = ("late_binding", "least_completion", "matching", "round_robin")
_COUNT = "a whole number, 1 or more"


@attrs.frozen
class EntrySettings:
    """Settings of ``cowslipgate serve``."""

    domain: str = core.setting(
        core.parse_name, _NAME, "failure domain that the entry is in"
    )
    """Failure domain that the entry is in."""

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
    """Where callers and operators connect."""

    bind_internal: core.Bind = core.setting(
        core.parse_bind,
        _BIND,
        "where agents and other entries connect",
        "127.0.0.1:8081",
    )
    """Where agents and other entries connect."""

    operator_digest: str = core.setting(
        core.parse_digest,
        "a SHA-256 digest in hexadecimal, or empty",
        "digest of a token that is always an operator's",
        "",
    )
    """Digest of a token that is always an operator's, or empty."""

    policy: str = core.setting(
        core.parse_choice(*POLICIES),
        ", ".join(POLICIES),
        "how targets are chosen",
        "late_binding",
    )
    """How targets are chosen."""

    drain_timeout: datetime.timedelta = core.setting(
        core.parse_duration,
        _DURATION,
        "longest time that a planned stop waits for jobs in flight",
        "60s",
    )
    """Longest time that a planned stop waits for jobs in flight."""

    max_connections: int = core.setting(
        core.parse_count, _COUNT, "most caller connections at once", "1024"
    )
    """Most caller connections at once."""

    max_body_bytes: int = core.setting(
        core.parse_count, _COUNT, "largest request in bytes", "8388608"
    )
    """Largest request in bytes."""
