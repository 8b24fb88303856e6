"""Limits on the slots that teams may use at this entry."""

import datetime

import attrs

import cowslipgate_core as core


@attrs.define
class QuotaLimits:
    """Slot limits granted to this entry, with their expiry."""

    _valid_until: datetime.datetime
    """Time at which the limits expire unless they are renewed."""

    _limits: dict[str, int] = attrs.Factory(dict)
    """Slots by team, for teams with a quota only."""

    def replace(
        self, limits: dict[str, int], valid_until: datetime.datetime
    ) -> None:
        """Replace the limits and their expiry."""
        self._limits = limits
        self._valid_until = valid_until

    def list_slots(
        self, document: core.Document, now: datetime.datetime
    ) -> dict[str, int]:
        """Return the slots by team at this entry; zero once expired.

        Slots of teams without a quota come from the document unchanged.
        """
        slots = {name: team.slots for name, team in document.teams.items()}
        limited = core.find_quotas(slots)
        # Once the limits expired, for instance during a pause of this
        # process, another entry may hold its slots.
        limits = self._limits if now <= self._valid_until else {}
        return slots | {name: limits.get(name, 0) for name in limited}
