"""After all processes were killed, no request is served any more.

Clients declare run times that are far too short. A rush teaches the entries
the real ones, so that the traffic after it is served. Then everything is
killed and starts again, with nothing but the same traffic.
"""

import asyncio
import itertools
import os
import random
import sys

import bed as beds

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_MS = 1200
DECLARED_MS = 150
DEADLINE_MS = 1500
RECOVERY_S = 12
RUSH_JOBS = 30
RUSH_DEADLINE_MS = 6000
"""In the rush tasks wait for room, so its callers wait longer."""

GAP_S = 1.5
"""Time between two requests of the steady traffic."""

STEADY_BEFORE_S = 1.6
MEASURED_S = 12


class Traffic:
    """Clients, and what became of their requests."""

    def __init__(self, bed, entries):
        self.bed = bed
        self.entries = itertools.cycle(entries)
        self.chance = random.Random(11)
        self.answers = []
        self.tasks = []

    def send(self, count, deadline_ms):
        """Send one request in the background."""
        self.tasks.append(
            asyncio.create_task(self._request(count, deadline_ms))
        )

    async def _request(self, count, deadline_ms):
        sent_at = beds.now()
        name = f"{self.chance.getrandbits(64):016x}"
        status, _ = await self.bed.post(
            next(self.entries),
            name,
            str(WORK_MS),
            count=count,
            cpu=3100,
            deadline=deadline_ms,
            estimated_ms=DECLARED_MS,
        )
        self.answers.append((sent_at, status))

    async def send_steadily(self, until):
        """Send small requests at equal intervals."""
        while beds.now() < until:
            self.send(2, DEADLINE_MS)
            await asyncio.sleep(min(GAP_S, max(0, until - beds.now())))

    def measure(self, since, until):
        """Return the requests sent in a time and how many were served."""
        found = [s for at, s in self.answers if since <= at < until]
        return len(found), sum(status == 200 for status in found)


async def main():
    """Play the case; return the exit status."""
    bed = beds.Bed()
    zones = ("kaai-zuid", "dokken-noord", "depot-berchem")
    entries = [bed.add_entry(f"edge-{z}-1", zone=z) for z in zones]
    for number in range(11):
        bed.add_worker(f"side-{number}", zone=zones[number % 3])
    bed.store.configure(3, beds.ROUTES)
    try:
        await bed.start()
        if not await bed.ready(entries):
            return 2
        # What entries learn is written every 5 s; the fault comes between.
        end = beds.now() + 15
        while bed.store.count_writes("estimates") < len(zones):
            if beds.now() > end:
                return 2
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        traffic = Traffic(bed, entries)
        began = beds.now()
        for _ in range(RUSH_JOBS):
            traffic.send(8, RUSH_DEADLINE_MS)
        await asyncio.sleep(2.4)
        await traffic.send_steadily(beds.now() + STEADY_BEFORE_S)
        bed.record.add("estimates", writes=bed.store.count_writes("estimates"))
        fault = beds.now()
        if TROUBLE:
            for machine in bed.machines:
                machine.kill()
                bed.record.add("killed", node=machine.name)
            for machine in bed.machines:
                machine.start()
        back = beds.now()
        await traffic.send_steadily(back + RECOVERY_S + MEASURED_S)
        await asyncio.gather(*traffic.tasks)
        before, served_before = traffic.measure(began, fault)
        after, served_after = traffic.measure(
            back + RECOVERY_S, back + RECOVERY_S + MEASURED_S
        )
        runs = [run for worker in bed.workers for run in worker.runs]
        late = [run for run in runs if run.started >= back + RECOVERY_S]
        bed.record.add(
            "result",
            before=before,
            served_before=served_before,
            after=after,
            served_after=served_after,
            runs_after=len(late),
            stopped_after=sum(run.how == "stopped" for run in late),
        )
        print(bed.record.lines[-1])
        if served_before * 4 < before:
            return 2
        return 1 if served_after * 4 < after else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    sys.exit(beds.play(main))
