"""Builders of listings, and a model of a target that keeps leases."""

import datetime

import attrs
import cowslipgate_core as core
from cowslipgate_core.tests import builders

LEASE = datetime.timedelta(seconds=1)
LEASE_MS = 1_000
LIFE = 1_700_000_000_000
REBORN_CLOCK_MS = 1_000
"""Clock of a target's next life at its start, far below that of the first."""


def build_order(attempt: int = 1, run: int = 10) -> core.Order:
    """Return an order of a named task."""
    return core.Order(
        attempt, f"job-1.0.{attempt}", "", b"{}", "", "a.0.0.0", run
    )


def build_listing(
    clock_ms: int = 5_000,
    running: tuple[core.RunName, ...] = (),
    ended: tuple[core.ListedEnd, ...] = (),
    life: int = LIFE,
) -> core.Listing:
    """Return a listing."""
    return core.Listing(life, clock_ms, running, ended)


def build_contacted_book() -> core.RunBook:
    """Return a book that has had its first contact with an idle target."""
    book = core.RunBook(LEASE)
    book.hear_target("i-1", LIFE, builders.NOW)
    book.hear_listing(build_listing(), builders.NOW, builders.NOW)
    return book


@attrs.define(eq=False)
class TargetModel:
    """A target that runs tasks under leases, with a clock of its own."""

    life: int = LIFE
    """When it started."""

    clock_ms: int = 5_000
    """Its clock."""

    fence: int = 0
    """Highest fencing token that it has seen."""

    lease_end_ms: int = 0
    """End of the lease."""

    running: set[core.RunName] = attrs.Factory(set)
    """Runs at work."""

    barred: dict[str, int] = attrs.Factory(dict)
    """Highest run stopped or ended, by task."""

    ended: list[core.ListedEnd] = attrs.Factory(list)
    """Ends that are not acknowledged."""

    number: int = 0
    """Number of the last end."""

    starts: list[core.RunName] = attrs.Factory(list)
    """Every run that was started."""

    def be_reborn(self) -> None:
        """Begin another life under the same id; what ran is gone."""
        self.life += 1
        self.clock_ms = REBORN_CLOCK_MS
        self.fence = 0
        self.lease_end_ms = 0
        self.running.clear()
        self.barred.clear()
        self.ended.clear()
        self.number = 0

    def advance(self, milliseconds: int) -> None:
        """Move the clock and end what has lost its lease."""
        self.clock_ms += milliseconds
        if self.clock_ms > self.lease_end_ms:
            for name in sorted(self.running, key=str):
                self.end(name, core.RunEnd.LAPSED)

    def end(self, name: core.RunName, how: core.RunEnd) -> None:
        """End a run."""
        self.running.discard(name)
        self._bar(name)
        self.number += 1
        self.ended.append(core.ListedEnd(self.number, name, how))

    def start(self, call: core.CallStart) -> core.StartReply:
        """Carry out an order to start."""
        if call.fence < self.fence:
            return core.StartReply.OUTRANKED
        self.fence = call.fence
        if call.lease_end_ms < self.clock_ms:
            return core.StartReply.REFUSED
        self._extend(call.lease_end_ms)
        if call.name in self.running:
            return core.StartReply.ACCEPTED
        if call.name.run <= self.barred.get(call.name.task, 0):
            return core.StartReply.REFUSED
        self.running.add(call.name)
        self.starts.append(call.name)
        return core.StartReply.ACCEPTED

    def stop(self, call: core.CallStop) -> bool:
        """Carry out an order to stop."""
        if call.fence < self.fence:
            return False
        self.fence = call.fence
        if call.name in self.running:
            self.end(call.name, core.RunEnd.STOPPED)
        self._bar(call.name)
        return True

    def watch(self, call: core.CallWatch) -> core.WatchReply:
        """Renew the lease and return the listing."""
        if call.fence < self.fence:
            return core.Outranked(self.clock_ms)
        self.fence = call.fence
        if call.lease_end_ms:
            self._extend(call.lease_end_ms)
        self.ended = [e for e in self.ended if e.number > call.acknowledged]
        return core.Listing(
            self.life,
            self.clock_ms,
            tuple(sorted(self.running, key=str)),
            tuple(self.ended),
        )

    def _extend(self, lease_end_ms: int) -> None:
        latest = min(lease_end_ms, self.clock_ms + LEASE_MS)
        self.lease_end_ms = max(self.lease_end_ms, latest)

    def _bar(self, name: core.RunName) -> None:
        self.barred[name.task] = max(self.barred.get(name.task, 0), name.run)
