"""The entries that are alive, and the subset that an agent connects to."""

import collections
import datetime
import hashlib

import attrs

from cowslipgate_core.membership import _gossip
from cowslipgate_core.messages import _reports

MAX_CANDIDATES = 64


@attrs.define
class Membership:
    """Live entries by address, the newest incarnation of each."""

    _members: dict[str, _reports.Member] = attrs.Factory(dict)
    """Newest known member by address."""

    _heard: dict[str, datetime.datetime] = attrs.Factory(dict)
    """When each address was last heard of."""

    @property
    def lapse_after(self) -> datetime.timedelta:
        """Silence after which a member is forgotten."""
        return _gossip.stretch_lapse(len(self._members) - 1)

    def hear(self, member: _reports.Member, now: datetime.datetime) -> bool:
        """Note a sign of life; return whether the member is new.

        A member with an older incarnation than the known one is ignored.
        """
        known = self._members.get(member.address)
        if known is not None and known.incarnation > member.incarnation:
            return False
        self._members[member.address] = member
        self._heard[member.address] = now
        return known is None or known.incarnation != member.incarnation

    def has(self, member: _reports.Member) -> bool:
        """Tell whether this incarnation is a live member."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation == member.incarnation

    def is_superseded(self, member: _reports.Member) -> bool:
        """Tell whether a newer incarnation has the member's address."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation > member.incarnation

    def remove(self, member: _reports.Member) -> None:
        """Forget a member that said goodbye."""
        known = self._members.get(member.address)
        if known is not None and known.incarnation <= member.incarnation:
            del self._members[member.address]
            del self._heard[member.address]

    def expire(self, now: datetime.datetime) -> list[_reports.Member]:
        """Forget and return the members that were silent too long."""
        limit = self.lapse_after
        lapsed = [
            self._members[address]
            for address, heard in self._heard.items()
            if now - heard > limit
        ]
        for member in lapsed:
            self.remove(member)
        return lapsed

    def get_members(self) -> tuple[_reports.Member, ...]:
        """Return the live members in the order of their addresses."""
        return tuple(self._members[key] for key in sorted(self._members))


@attrs.define
class Candidates:
    """Entries known from others only, that may turn out to live."""

    _added: dict[int, tuple[_reports.Member, datetime.datetime]] = (
        attrs.Factory(dict)
    )
    """Candidate and when it was added, by incarnation."""

    def add(self, member: _reports.Member, now: datetime.datetime) -> bool:
        """Note a candidate; return whether it is new and there is room."""
        if member.incarnation in self._added:
            return False
        if len(self._added) >= MAX_CANDIDATES:
            return False
        self._added[member.incarnation] = (member, now)
        return True

    def expire(
        self, limit: datetime.timedelta, now: datetime.datetime
    ) -> list[_reports.Member]:
        """Forget and return the candidates that had time to answer.

        :param limit: time that a candidate has for its answer
        """
        lapsed = [
            member
            for member, added in self._added.values()
            if now - added > limit
        ]
        for member in lapsed:
            del self._added[member.incarnation]
        return lapsed

    def get_members(self) -> tuple[_reports.Member, ...]:
        """Return the candidates."""
        return tuple(member for member, _ in self._added.values())


def digest_members(members: tuple[_reports.Member, ...]) -> str:
    """Return a short digest of the members' incarnations."""
    text = ",".join(str(member.incarnation) for member in members)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def choose_entries(
    agent: str,
    members: tuple[_reports.Member, ...],
    count: int,
    region: str = "",
) -> tuple[_reports.Member, ...]:
    """Return the entries that an agent connects to.

    All but one are in the agent's region, so that it is served while the
    links between regions are cut; the one outside lets other regions use its
    target. Where there are too few of either kind, the other fills up.

    :param region: region of the agent
    """
    ranked = sorted(members, key=lambda member: _rank(agent, member))
    home = _alternate_domains([m for m in ranked if m.region == region])
    away = _alternate_domains([m for m in ranked if m.region != region])
    nearby = max(1, count - 1)
    ordered = home[:nearby] + away[:1] + home[nearby:] + away[1:]
    return tuple(ordered[:count])


def _alternate_domains(
    ranked: list[_reports.Member],
) -> list[_reports.Member]:
    """Put one entry of each failure domain before a second one of any."""
    seen: collections.Counter[str] = collections.Counter()
    rounds = []
    for member in ranked:
        rounds.append((seen[member.domain], len(rounds), member))
        seen[member.domain] += 1
    return [member for _, _, member in sorted(rounds)]


def _rank(agent: str, member: _reports.Member) -> bytes:
    text = f"{agent}|{member.address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
