"""A cancelled job goes on, as an entry answers 410 that knows no other entry.

The entry was cut off from the store and started again meanwhile, so it has
read no list of entries.
"""

import asyncio
import os
import sys

import bed as beds

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 5.5
RESTART_S = 0.1
CANCEL_S = 3.0
JOB = "00000000c0ffee17"
TASKS = 340
TASK_MS = 300
DEADLINE_MS = 15000


async def cancel(bed, entry, until):
    """Cancel the job as a client does; return the time of the answer."""
    while beds.now() < until:
        status, _ = await beds.call(
            entry.ip, beds.READY, "GET", "/cowslipgate/readyz", {}, None, 1
        )
        if status == 200:
            answer, _ = await bed.delete(entry, JOB)
            if answer in (200, 410):
                return beds.now()
        await asyncio.sleep(0.05)
    return None


async def main():
    """Play the case; return the exit status."""
    bed = beds.Bed()
    link = bed.add_link()
    holder = bed.add_entry("edge-kaai-zuid-1")
    other = bed.add_entry(
        "edge-dokken-noord-1",
        zone="dokken-noord",
        store_address=f"{link.host}:{link.port}",
    )
    for number in range(3):
        bed.add_worker(f"side-{number}")
    bed.store.configure(3, beds.ROUTES)
    try:
        await bed.start()
        if not await bed.ready([holder, other]):
            return 2
        # Traffic starts 12 s after the machines.
        await asyncio.sleep(12 - beds.now())
        job = asyncio.create_task(
            bed.post(
                holder,
                JOB,
                str(TASK_MS),
                count=TASKS,
                cpu=10000,
                deadline=DEADLINE_MS,
            )
        )
        await asyncio.sleep(0.5)
        if TROUBLE:
            link.cut()
            other.kill()
            bed.record.add("killed", node=other.name)
            await asyncio.sleep(RESTART_S)
            other.start()
            asyncio.get_running_loop().call_later(CUT_S - RESTART_S, link.heal)
        acked_at = await cancel(bed, other, beds.now() + 10)
        if acked_at is None:
            return 2
        await asyncio.sleep(acked_at + CANCEL_S + 4 - beds.now())
        runs = [
            run
            for worker in bed.workers
            for run in worker.runs
            if run.task.startswith(JOB)
        ]
        late = [run for run in runs if run.started > acked_at + CANCEL_S]
        bed.record.add(
            "result",
            acked_at=round(acked_at, 3),
            runs=len(runs),
            started_after_ack=sum(r.started > acked_at for r in runs),
            started_too_late=len(late),
            last_start=round(max(r.started for r in runs) - acked_at, 3),
        )
        print(bed.record.lines[-1])
        await asyncio.wait([job], timeout=1)
        return 1 if late else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    sys.exit(beds.play(main))
