"""The entries that are alive, and the subset that an agent connects to."""

import datetime
import hashlib

import attrs

from cowslipgate_core import _gossip
from cowslipgate_core import _messages

MAX_CANDIDATES = 64


@attrs.define
class Membership:
    """Live entries by address, the newest incarnation of each."""

    _members: dict[str, _messages.Member] = attrs.Factory(dict)
    """Newest known member by address."""

    _heard: dict[str, datetime.datetime] = attrs.Factory(dict)
    """When each address was last heard of."""

    @property
    def lapse_after(self) -> datetime.timedelta:
        """Silence after which a member is forgotten."""
        return _gossip.stretch_lapse(len(self._members) - 1)

    def hear(self, member: _messages.Member, now: datetime.datetime) -> bool:
        """Note a sign of life; return whether the member is new.

        A member with an older incarnation than the known one is ignored.
        """
        known = self._members.get(member.address)
        if known is not None and known.incarnation > member.incarnation:
            return False
        self._members[member.address] = member
        self._heard[member.address] = now
        return known is None or known.incarnation != member.incarnation

    def has(self, member: _messages.Member) -> bool:
        """Tell whether this incarnation is a live member."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation == member.incarnation

    def is_superseded(self, member: _messages.Member) -> bool:
        """Tell whether a newer incarnation has the member's address."""
        known = self._members.get(member.address)
        return known is not None and known.incarnation > member.incarnation

    def remove(self, member: _messages.Member) -> None:
        """Forget a member that said goodbye."""
        known = self._members.get(member.address)
        if known is not None and known.incarnation <= member.incarnation:
            del self._members[member.address]
            del self._heard[member.address]

    def expire(self, now: datetime.datetime) -> list[_messages.Member]:
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

    def get_members(self) -> tuple[_messages.Member, ...]:
        """Return the live members in the order of their addresses."""
        return tuple(self._members[key] for key in sorted(self._members))


@attrs.define
class Candidates:
    """Entries known from others only, that may turn out to live."""

    _added: dict[int, tuple[_messages.Member, datetime.datetime]] = (
        attrs.Factory(dict)
    )
    """Candidate and when it was added, by incarnation."""

    def add(self, member: _messages.Member, now: datetime.datetime) -> bool:
        """Note a candidate; return whether it is new and there is room."""
        if member.incarnation in self._added:
            return False
        if len(self._added) >= MAX_CANDIDATES:
            return False
        self._added[member.incarnation] = (member, now)
        return True

    def expire(
        self, limit: datetime.timedelta, now: datetime.datetime
    ) -> list[_messages.Member]:
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

    def get_members(self) -> tuple[_messages.Member, ...]:
        """Return the candidates."""
        return tuple(member for member, _ in self._added.values())


def digest_members(members: tuple[_messages.Member, ...]) -> str:
    """Return a short digest of the members' incarnations."""
    text = ",".join(str(member.incarnation) for member in members)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def choose_entries(
    agent: str, members: tuple[_messages.Member, ...], count: int
) -> tuple[_messages.Member, ...]:
    """Return the entries that an agent connects to.

    Rendezvous hashing ranks the entries; one entry of each failure domain is
    taken before a second one of any.
    """
    ranked = sorted(members, key=lambda member: _rank(agent, member))
    by_domain: dict[str, int] = {}
    rounds = []
    for member in ranked:
        turn = by_domain.get(member.domain, 0)
        by_domain[member.domain] = turn + 1
        rounds.append((turn, len(rounds), member))
    return tuple(member for _, _, member in sorted(rounds)[:count])


def _rank(agent: str, member: _messages.Member) -> bytes:
    text = f"{agent}|{member.address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
