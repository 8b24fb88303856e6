"""Encoded sizes of control messages in the deployment of CAPACITY.md."""

import cowslipgate_core as core
import msgspec

DOMAIN = "kaai-zuid"
TEAMS = 42
TOKENS_PER_TEAM = 2
OPERATORS = 8
SERVICES = 4


def measure_messages() -> tuple[int, ...]:
    """Return the sizes in bytes, in the field order of ``Slopes``."""
    member = core.Member(
        core.make_incarnation(core.SystemClock()),
        "tcp://10.120.130.140:8081",
        "10.120.130.140:8080",
        DOMAIN,
    )
    report = core.Report(
        "agent-1999",
        member.incarnation,
        "schapkaart",
        DOMAIN,
        "serving",
        core.Resources(128_000, 2),
        core.Load(8, 4, 4),
        3600,
        core.digest_members((member,)),
    )
    beat = core.Beat(member.incarnation, 3600, (), heartbeat_ms=10_000)
    gossip_bytes = _size(core.Gossip(member, 3600, lease_revision=100_000))
    gossip_with_member_bytes = _size(
        core.Gossip(member, 3600, (member,), lease_revision=100_000)
    )
    lease = core.Lease(member, 3600)
    share = {"market-hall-7": core.Share(50, 4100)}
    lease_with_share = core.Lease(member, 3600, share)
    return (
        _size(report),
        _size(beat),
        gossip_bytes,
        gossip_with_member_bytes - gossip_bytes,
        len(msgspec.json.encode(lease)),
        _size(_make_push(member.incarnation)),
        len(msgspec.json.encode(lease_with_share))
        - len(msgspec.json.encode(lease)),
    )


def _make_push(entry: int) -> core.ConfigurationPush:
    teams = {
        f"market-hall-{number}": {
            "token_digests": [
                core.digest_token(f"{number}-{token}")
                for token in range(TOKENS_PER_TEAM)
            ],
            "slots": 400,
        }
        for number in range(TEAMS)
    }
    operators = {
        f"operator-{number}": {
            "token_digests": [core.digest_token(f"{number}")]
        }
        for number in range(OPERATORS)
    }
    services = {f"service-{number}": {} for number in range(SERVICES)}
    configuration = core.parse_configuration(
        3600, {"services": services, "teams": teams, "operators": operators}
    )
    return core.ConfigurationPush(
        entry, 3600, core.compress_document(configuration.encode())
    )


def _size(message: object) -> int:
    return sum(len(frame) for frame in core.encode_message(message))
