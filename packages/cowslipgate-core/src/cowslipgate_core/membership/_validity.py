"""Period in which an entry may use the share that it last stored."""

import datetime

import attrs

LIMITS_VALID_FOR = datetime.timedelta(seconds=20)
"""Validity of the limits after a renewal or a failed call in an outage."""

OUTAGE_CONFIRMED_AFTER = datetime.timedelta(seconds=5)
"""Time after the first failed call from which a newer revision of the lease
row shows that other entries still reach the service."""


@attrs.define
class LimitValidity:
    """Validity of an entry's limits in an outage of the table service.

    While the service is down for all entries, none can take over this entry's
    slots, so its limits stay valid. They expire when other entries renew their
    leases and this one cannot, or when a pause of this process outlasted them.
    """

    until: datetime.datetime
    """Time after which the limits are zero."""

    _failing_since: datetime.datetime | None = None
    """Time of the first failed call, or None while the service answers."""

    _newest: int = 0
    """Highest revision of the lease row that a peer has named."""

    _lost: bool = False
    """Whether other entries may have renewed their leases without this one."""

    def record_renewal(self, sent_at: datetime.datetime) -> None:
        """Record that the lease was renewed.

        :param sent_at: time at which the renewal was sent to the service
        """
        self._failing_since = None
        self._lost = False
        self.until = sent_at + LIMITS_VALID_FOR

    def record_outage(self, now: datetime.datetime) -> None:
        """Record that the service could not be reached."""
        if self._failing_since is None:
            self._failing_since = now
            self._lost = now > self.until
        if not self._lost:
            self.until = now + LIMITS_VALID_FOR

    def record_revision(self, revision: int, now: datetime.datetime) -> None:
        """Record the revision of the lease row that a peer has named."""
        if revision <= self._newest:
            return
        self._newest = revision
        failing = self._failing_since
        if failing is not None and now - failing > OUTAGE_CONFIRMED_AFTER:
            self._lost = True
