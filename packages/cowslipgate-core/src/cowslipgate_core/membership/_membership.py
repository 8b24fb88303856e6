"""Live entries, and the subset of them that an agent connects to."""

import collections
import datetime
import hashlib
import math

import attrs

from cowslipgate_core.membership import _gossip
from cowslipgate_core.messages import _reports

NEAR_SHARE = 0.6
"""Share of an agent's links in its failure domain. Traffic between domains
costs more, and the other links serve while a domain has more or less work
than its targets can do, or has lost its entries."""

MAX_CANDIDATES = 64
"""Bound on the candidates kept at once."""


@attrs.define
class Membership:
    """Live entries by address, the newest incarnation of each."""

    _members: dict[str, _reports.Member] = attrs.Factory(dict)
    """Newest known member by address."""

    _last_seen: dict[str, datetime.datetime] = attrs.Factory(dict)
    """Time of the last message from each address."""

    @property
    def expires_after(self) -> datetime.timedelta:
        """Time without a message after which a member expires."""
        return _gossip.compute_member_expiry(len(self._members) - 1)

    def record_member(
        self, member: _reports.Member, now: datetime.datetime
    ) -> bool:
        """Record a message from a member and return whether it is new.

        A member with an older incarnation than the known one is ignored.
        """
        known = self._members.get(member.address)
        if known is not None and known.incarnation > member.incarnation:
            return False
        self._members[member.address] = member
        self._last_seen[member.address] = now
        return known is None or known.incarnation != member.incarnation

    def is_live(self, member: _reports.Member) -> bool:
        """Return whether this incarnation is a live member."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation == member.incarnation

    def is_superseded(self, member: _reports.Member) -> bool:
        """Return whether a newer incarnation has the member's address."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation > member.incarnation

    def remove(self, member: _reports.Member) -> None:
        """Remove a member, unless a newer incarnation has its address."""
        known = self._members.get(member.address)
        if known is not None and known.incarnation <= member.incarnation:
            del self._members[member.address]
            del self._last_seen[member.address]

    def expire(self, now: datetime.datetime) -> list[_reports.Member]:
        """Remove and return the members that were not seen for too long."""
        limit = self.expires_after
        expired = [
            self._members[address]
            for address, last_seen in self._last_seen.items()
            if now - last_seen > limit
        ]
        for member in expired:
            self.remove(member)
        return expired

    def get_members(self) -> tuple[_reports.Member, ...]:
        """Return the live members, sorted by address."""
        return tuple(self._members[key] for key in sorted(self._members))


@attrs.define
class Candidates:
    """Entries named by other processes, which may turn out to be live."""

    _added: dict[int, tuple[_reports.Member, datetime.datetime]] = (
        attrs.Factory(dict)
    )
    """Candidate and the time at which it was added, by incarnation."""

    def add(self, member: _reports.Member, now: datetime.datetime) -> bool:
        """Add a candidate and return whether it was added.

        It is not added if it is known or MAX_CANDIDATES are kept already.
        """
        if member.incarnation in self._added:
            return False
        if len(self._added) >= MAX_CANDIDATES:
            return False
        self._added[member.incarnation] = (member, now)
        return True

    def expire(
        self, limit: datetime.timedelta, now: datetime.datetime
    ) -> list[_reports.Member]:
        """Remove and return the candidates whose time to answer has passed.

        :param limit: time that a candidate has to answer
        """
        expired = [
            member
            for member, added in self._added.values()
            if now - added > limit
        ]
        for member in expired:
            del self._added[member.incarnation]
        return expired

    def get_members(self) -> tuple[_reports.Member, ...]:
        """Return the candidates."""
        return tuple(member for member, _ in self._added.values())


def digest_members(members: tuple[_reports.Member, ...]) -> str:
    """Return a 64-bit digest in hexadecimal of the members' incarnations.

    Their order does not matter, as each entry lists itself first.
    """
    incarnations = sorted(member.incarnation for member in members)
    text = ",".join(map(str, incarnations))
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def choose_entries(
    agent: str,
    members: tuple[_reports.Member, ...],
    count: int,
    region: str = "",
    domain: str = "",
) -> tuple[_reports.Member, ...]:
    """Return the entries that an agent connects to.

    All but one are in the agent's region, so that the agent still gets work
    when regions lose contact. The one outside lets other regions use its
    target. Of those inside, ``NEAR_SHARE`` are in the agent's failure domain.
    If there are too few of one kind, the others make up the count.

    :param region: region of the agent
    :param domain: failure domain of the agent; empty to prefer none
    """
    ranked = sorted(members, key=lambda member: _rank(agent, member))
    split = max(1, count - 1)
    local = _put_near_first(
        [m for m in ranked if m.region == region], domain, split
    )
    remote = _alternate_domains([m for m in ranked if m.region != region])
    ordered = local[:split] + remote[:1] + local[split:] + remote[1:]
    return tuple(ordered[:count])


def _put_near_first(
    ranked: list[_reports.Member], domain: str, count: int
) -> list[_reports.Member]:
    """Order entries so that ``NEAR_SHARE`` of the first ``count`` are near.

    Other domains take turns in the rest.
    """
    own = [member for member in ranked if domain and member.domain == domain]
    near = own[: math.ceil(count * NEAR_SHARE)]
    others = _alternate_domains([m for m in ranked if m not in own])
    return near + others + own[len(near) :]


def _alternate_domains(
    ranked: list[_reports.Member],
) -> list[_reports.Member]:
    """Order entries so that the failure domains take turns.

    One entry of each domain comes before the second one of any domain.
    """
    seen: collections.Counter[str] = collections.Counter()
    rounds = []
    for member in ranked:
        rounds.append((seen[member.domain], len(rounds), member))
        seen[member.domain] += 1
    return [member for _, _, member in sorted(rounds)]


def _rank(agent: str, member: _reports.Member) -> bytes:
    text = f"{agent}|{member.address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
