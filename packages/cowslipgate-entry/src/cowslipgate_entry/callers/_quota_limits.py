"""Slots that teams may use at this entry now."""

import datetime

import attrs

import cowslipgate_core as core


@attrs.define
class QuotaLimits:
    """Limits that this entry was given, as long as they hold."""

    _valid_until: datetime.datetime
    """When the limits end unless they are renewed."""

    _limits: dict[str, int] = attrs.Factory(dict)
    """Slots by team, for teams with a quota."""

    def replace(
        self, limits: dict[str, int], valid_until: datetime.datetime
    ) -> None:
        """Take in new limits."""
        self._limits = limits
        self._valid_until = valid_until

    def list_slots(
        self, document: core.Document, now: datetime.datetime
    ) -> dict[str, int]:
        """Return the slots that each team may use at this entry."""
        slots = {name: team.slots for name, team in document.teams.items()}
        limited = core.find_quotas(slots)
        # After a pause another entry may hold the slots of this one.
        limits = self._limits if now <= self._valid_until else {}
        return slots | {name: limits.get(name, 0) for name in limited}
