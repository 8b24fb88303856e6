"""Until when an entry may rely on the share that it stored last."""

import datetime

import attrs

LIMITS_VALID_FOR = datetime.timedelta(seconds=20)
OUTAGE_CERTAIN_AFTER = datetime.timedelta(seconds=5)


@attrs.define
class LimitValidity:
    """Tells an outage of the table service from the loss of one's lease.

    While the service is down nobody can give this entry's slots away, so its
    limits hold. They lapse when the others renew their leases and this entry
    cannot, or when it was paused and does not know what happened meanwhile.
    """

    until: datetime.datetime
    """Instant after which the limits are zero."""

    _failing_since: datetime.datetime | None = None
    """When the service was first out of reach, None while it answers."""

    _newest: int = 0
    """Highest revision of the lease row that was heard of."""

    _lost: bool = False
    """Whether the others are known to renew without this entry."""

    def confirm(self, now: datetime.datetime) -> None:
        """Take in that the lease was renewed."""
        self._failing_since = None
        self._lost = False
        self.until = now + LIMITS_VALID_FOR

    def fail(self, now: datetime.datetime) -> None:
        """Take in that the service could not be reached."""
        if self._failing_since is None:
            self._failing_since = now
            self._lost = now > self.until
        if not self._lost:
            self.until = now + LIMITS_VALID_FOR

    def hear(self, revision: int, now: datetime.datetime) -> None:
        """Take in the revision of the lease row that a peer knows."""
        if revision <= self._newest:
            return
        self._newest = revision
        failing = self._failing_since
        if failing is not None and now - failing > OUTAGE_CERTAIN_AFTER:
            self._lost = True
