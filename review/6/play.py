"""A machine is suspended, and the runs on its worker go on when it wakes."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed-2"))
import bed as beds  # noqa: E402

MACHINES = 9
SUSPENDED_S = 2.0
WORK_MS = 3600
TRIES = 3


async def play(bed, trouble):
    entry = bed.make_entry("edge-1")
    sides = [bed.make_side(f"w{n}") for n in range(1, MACHINES + 1)]
    await entry.start()
    for agent, worker in sides:
        await agent.start()
        await worker.start()
    await entry.wait_ready()
    await asyncio.sleep(6.0)
    status, _ = await bed.submit(entry, beds.new_job(), 16, 100)
    if status != 200:
        raise RuntimeError("the deployment does not serve")
    found = []
    for _ in range(TRIES):
        job = beds.new_job()
        posted = asyncio.ensure_future(bed.submit(entry, job, 1, WORK_MS))
        await asyncio.sleep(0.6)
        name = next(r["worker"] for r in bed.runs if r["task"][:16] == job)
        agent, worker = next(s for s in sides if s[1].name == name)
        if trouble:
            agent.signal(signal.SIGSTOP)
            worker.suspend()
            await asyncio.sleep(SUSPENDED_S)
            worker.resume()
            agent.signal(signal.SIGCONT)
        await posted
        await asyncio.sleep(4.0)
        found += find_overlaps(bed, job)
    for each in found:
        bed.record.write(each)
    return "; ".join(found)


def find_overlaps(bed, job):
    """Return pairs of runs of one task at once, while their workers are up."""
    found = []
    runs = [r for r in bed.runs if r["task"].startswith(job)]
    for index, one in enumerate(runs):
        for other in runs[index + 1:]:
            if one["task"] != other["task"]:
                continue
            # The first stood still while its machine was suspended.
            begin = max(one["from"], other["from"], one.get("woke", 0.0))
            end = min(r["to"] or bed.record.now() for r in (one, other))
            if end > begin:
                found.append(
                    f"TWICE is broken: {one['task']} runs on {one['worker']}"
                    f" (run {one['run']}) and on {other['worker']} (run"
                    f" {other['run']}) at once, from {begin:.3f} to {end:.3f}")
    return found


if __name__ == "__main__":
    beds.run_case(play, HERE)
