"""Builders of orders and listings, and a model of a leasing target."""

import datetime

import attrs
import cowslipgate_core as core

LEASE = datetime.timedelta(seconds=1)
LEASE_MS = 1_000
NOW = datetime.timedelta(hours=1)
"""Steady time of the agent."""

INCARNATION = 1_700_000_000_000
RESTARTED_CLOCK_MS = 1_000
"""Clock of a restarted target, in milliseconds; far below its first clock."""


def build_order(attempt: int = 1, run: int = 10) -> core.Order:
    """Return an order of a named task."""
    return core.Order(
        attempt, f"job-1.0.{attempt}", "", b"{}", "", "a.0.0.0", run
    )


def build_listing(
    clock_ms: int = 5_000,
    running: tuple[core.RunName, ...] = (),
    ended: tuple[core.ListedEnd, ...] = (),
    incarnation: int = INCARNATION,
) -> core.Listing:
    """Return a listing of an incarnation, given by its start."""
    return core.Listing(incarnation, clock_ms, running, ended)


def build_tracker() -> core.RunTracker:
    """Return a tracker that knows an idle target and its runs."""
    tracker = core.RunTracker(LEASE)
    tracker.handle_heartbeat("i-1", INCARNATION, NOW)
    for _ in range(2):
        tracker.handle_listing(build_listing(), NOW, NOW)
    return tracker


@attrs.define(eq=False)
class TargetModel:
    """A target that runs tasks under leases, with a clock of its own."""

    incarnation: int = INCARNATION
    """Start of its incarnation, in its own Unix milliseconds."""

    clock_ms: int = 5_000
    """Its clock, in milliseconds."""

    fence: int = 0
    """Highest fencing token that it has seen."""

    lease_end_ms: int = 0
    """End of the lease on its clock."""

    running: set[core.RunName] = attrs.Factory(set)
    """Active runs."""

    barred: dict[str, int] = attrs.Factory(dict)
    """Highest run that was stopped or ended, by task."""

    ended: list[core.ListedEnd] = attrs.Factory(list)
    """Ends that are not acknowledged."""

    number: int = 0
    """Number of the last end."""

    starts: list[core.RunName] = attrs.Factory(list)
    """Every run that was started, in order."""

    def restart(self) -> None:
        """Begin another incarnation under the same id, without any runs."""
        self.incarnation += 1
        self.clock_ms = RESTARTED_CLOCK_MS
        self.fence = 0
        self.lease_end_ms = 0
        self.running.clear()
        self.barred.clear()
        self.ended.clear()
        self.number = 0

    def advance(self, milliseconds: int) -> None:
        """Advance the clock; end all runs if the lease has expired."""
        self.clock_ms += milliseconds
        if self.clock_ms > self.lease_end_ms:
            for name in sorted(self.running, key=str):
                self.end(name, core.RunEnd.LAPSED)

    def end(self, name: core.RunName, end: core.RunEnd) -> None:
        """End a run."""
        self.running.discard(name)
        self._bar(name)
        self.number += 1
        self.ended.append(core.ListedEnd(self.number, name, end))

    def start(self, call: core.CallStart) -> core.StartReply:
        """Carry out an order to start."""
        if call.fence < self.fence:
            return core.StartReply.STALE_TOKEN
        self.fence = call.fence
        if call.lease_end_ms < self.clock_ms:
            return core.StartReply.REFUSED
        self._extend_lease(call.lease_end_ms)
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
            return core.StaleToken(self.clock_ms)
        self.fence = call.fence
        if call.lease_end_ms:
            self._extend_lease(call.lease_end_ms)
        self.ended = [e for e in self.ended if e.number > call.acknowledged]
        return core.Listing(
            self.incarnation,
            self.clock_ms,
            tuple(sorted(self.running, key=str)),
            tuple(self.ended),
        )

    def _extend_lease(self, lease_end_ms: int) -> None:
        latest = min(lease_end_ms, self.clock_ms + LEASE_MS)
        self.lease_end_ms = max(self.lease_end_ms, latest)

    def _bar(self, name: core.RunName) -> None:
        self.barred[name.task] = max(self.barred.get(name.task, 0), name.run)
