"""Which heartbeats to agents carry the list of members."""

import datetime

import attrs

import cowslipgate_core as core

RESEND_AFTER = datetime.timedelta(seconds=5)
"""Time after which an agent that still reports other members gets the same
list again. Entries read the members every 5 s; until all of them have, an
agent hears different lists, and each would be answered by another one."""

_NO_MEMBERS = core.digest_members(())


@attrs.frozen
class _Sent:
    """The current list as sent to one agent."""

    incarnation: int
    """Incarnation of the agent."""

    link: int
    """Number of the agent's link."""

    at: datetime.datetime
    """When the list was sent."""


class MemberLists:
    """The members, and the agents that have got them lately."""

    def __init__(self, members: tuple[core.Member, ...]) -> None:
        self._sent: dict[str, _Sent] = {}
        self.replace(members)

    def __len__(self) -> int:
        return len(self._members)

    def replace(self, members: tuple[core.Member, ...]) -> None:
        """Set the members."""
        self._members = members
        self._digest = core.digest_members(members)
        self._sent.clear()

    def choose(
        self, report: core.Report, now: datetime.datetime
    ) -> tuple[core.Member, ...]:
        """Return the members that the answer to a report carries, or none."""
        if report.members_digest == self._digest:
            return ()
        self._forget_old(now)
        current = report.incarnation, report.link
        sent = self._sent.get(report.agent)
        if (
            report.members_digest != _NO_MEMBERS
            and sent is not None
            and (sent.incarnation, sent.link) == current
        ):
            return ()
        self._sent.pop(report.agent, None)
        self._sent[report.agent] = _Sent(*current, now)
        return self._members

    def _forget_old(self, now: datetime.datetime) -> None:
        # The agents are in the order in which the list was sent to them.
        for agent, sent in list(self._sent.items()):
            if now - sent.at < RESEND_AFTER:
                return
            del self._sent[agent]
