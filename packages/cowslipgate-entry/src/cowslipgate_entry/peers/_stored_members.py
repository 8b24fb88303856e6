"""Membership by rows that every entry writes and reads periodically.

It replaces gossip and leases where the store keeps the rows of entries; agents
read the same rows.
"""

import datetime

import circuits

import cowslipgate_core as core
from cowslipgate_entry import _events
import cowslipgate_transport as transport

CHANNEL = "members"
CANCELLATIONS_CHANNEL = "stored-cancellations"

RENEW_INTERVAL = datetime.timedelta(seconds=5)
"""Time between two renewals of an entry's row: one write and one read each."""

RETRY_INTERVAL = datetime.timedelta(milliseconds=500)
"""Delay after a failed call."""

RECOVERY_GRACE = datetime.timedelta(seconds=2)
"""Time in which every live entry renews its row after an outage of the store:
a call's timeout of 1.3 s and RETRY_INTERVAL."""


class StoredMembers(circuits.BaseComponent):
    """Renews this entry's row and derives the live members from all rows."""

    channel = CHANNEL

    def __init__(self, member: core.Member, clock: core.Clock) -> None:
        super().__init__()
        self._member = member
        self._clock = clock
        self._expiry_detector = core.LeaseExpiryDetector()
        self._members: tuple[core.Member, ...] = (member,)
        self._renewal = 0
        self._busy = False
        self._leaving = False
        self._store_failed = False
        self._next_renewal = clock.now()
        # End of RECOVERY_GRACE after the last outage.
        self._grace_ends = clock.now()
        self._refresh: core.TableRead | None = None
        self._stored = False
        self._passed_over = transport.RowsPassedOver(self)

    @circuits.handler("started", channel="*")
    def _on_started(self, *arguments: object) -> None:
        self._renew()

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        if not self._busy and self._clock.now() >= self._next_renewal:
            self._renew()

    @circuits.handler("drain")
    def _on_drain(self) -> None:
        self._leaving = True
        self._write(self._member, b"")

    @circuits.handler("refresh_members")
    def _on_refresh_members(self) -> None:
        self._refresh = core.TableRead(CHANNEL, core.ENTRIES_TABLE)
        self.fire(transport.call_table(self._refresh), "store")

    @circuits.handler("table_answered")
    def _on_table_answered(self, answer: core.TableAnswer) -> None:
        if answer.call is self._refresh:
            self._finish_refresh(answer)
        elif answer.result is core.TableResult.CONFLICT:
            # The entry whose row was to be removed is back.
            self._busy = False
        elif answer.result is not core.TableResult.DONE:
            self._busy = False
            self._store_failed = True
            self._next_renewal = self._clock.now() + RETRY_INTERVAL
        elif isinstance(answer.call, core.TableRead):
            self._busy = False
            self._handle_rows(answer.rows)
        elif not self._leaving:
            if not self._stored:
                self._stored = True
                event = _events.member_stored()
                self.fire(event, CANCELLATIONS_CHANNEL)
            call = core.TableRead(CHANNEL, core.ENTRIES_TABLE)
            self.fire(transport.call_table(call), "store")

    def _renew(self) -> None:
        if self._leaving:
            return
        self._busy = True
        self._next_renewal = self._clock.now() + RENEW_INTERVAL
        self._renewal += 1
        lease = core.Lease(self._member, self._renewal)
        self._write(self._member, core.encode_lease(lease))

    def _write(
        self,
        member: core.Member,
        value: bytes,
        expected: int = core.ANY_VERSION,
    ) -> None:
        key = core.name_lease(member)
        call = core.TableWrite(
            CHANNEL, core.ENTRIES_TABLE, key, value, expected
        )
        self.fire(transport.call_table(call), "store")

    def _finish_refresh(self, answer: core.TableAnswer) -> None:
        self._refresh = None
        members = None
        if answer.result is core.TableResult.DONE:
            others = self._decode_others(answer.rows)
            members = (self._member, *self._list_live(others))
            if self._store_failed or self._clock.now() < self._grace_ends:
                members += self._list_unseen(members)
            self._replace_members(members)
        event = _events.members_refreshed(members)
        self.fire(event, CANCELLATIONS_CHANNEL)

    def _list_live(
        self, others: tuple[core.Lease, ...]
    ) -> tuple[core.Member, ...]:
        """Return the other entries whose leases have not expired."""
        live = self._expiry_detector.filter_live(others, self._clock.now())
        return tuple(lease.member for lease in live)

    def _decode_others(
        self, rows: tuple[core.TableRow, ...]
    ) -> tuple[core.Lease, ...]:
        decoded = core.decode_leases(rows)
        self._passed_over.log(core.ENTRIES_TABLE, decoded.faults)
        return tuple(
            lease
            for lease in decoded.leases
            if lease.member.address != self._member.address
        )

    def _handle_rows(self, rows: tuple[core.TableRow, ...]) -> None:
        others = self._decode_others(rows)
        members = (self._member, *self._list_live(others))
        if self._store_failed:
            self._store_failed = False
            members += self._list_unseen(members)
            self._grace_ends = self._clock.now() + RECOVERY_GRACE
            self._next_renewal = self._grace_ends
        else:
            versions = {row.key: row.version for row in rows}
            self._remove_abandoned(others, members, versions)
        self._replace_members(members)

    def _replace_members(self, members: tuple[core.Member, ...]) -> None:
        if set(members) != set(self._members):
            self._members = members
            event = _events.members_changed(members)
            self.fire(event, "dispatcher", "gateway")

    def _remove_abandoned(
        self,
        leases: tuple[core.Lease, ...],
        members: tuple[core.Member, ...],
        versions: dict[str, int],
    ) -> None:
        """Remove one row of an entry that will not come back, if there is one.

        Only the live entry with the lowest key does so, to save store calls.
        A row that was renewed since it was read stays.

        :param versions: versions of the rows that were read, by key
        """
        first = min(members, key=core.name_lease)
        if self._leaving or first != self._member:
            return
        for lease in self._expiry_detector.list_abandoned(
            leases, self._clock.now()
        ):
            self._busy = True
            version = versions[core.name_lease(lease.member)]
            self._write(lease.member, b"", version)
            return

    def _list_unseen(
        self, seen: tuple[core.Member, ...]
    ) -> tuple[core.Member, ...]:
        """Return known members that may still be about to renew their rows."""
        addresses = {member.address for member in seen}
        return tuple(
            member
            for member in self._members
            if member.address not in addresses
        )
