"""A run goes on beside the next run of its task as its machine wakes.

The machine, with its agent and its worker, was suspended, and the entry that had
sent the order was killed meanwhile.
"""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bed-3"))

import bed  # noqa: E402

ENTRIES = 2
AGENTS = 8
SUSPENDED_S = 2.5
KILLED_AFTER_S = 0.3
DOWN_S = 3.0
RESEND_S = 1.3
TASK_MS = 3600
CPU = 3100
DEADLINE_MS = 9000
TRIES = 3
PAUSE_S = 6.0


def find_overlaps(runs):
    """Return the runs of one task that were active at once."""
    found = []
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            if one.task != other.task:
                continue
            # A worker that stands still with its machine is not up.
            began = max(one.started, other.started, one.woken, other.woken)
            ended = min(run.ended or time.monotonic() for run in (one, other))
            if ended > began:
                found.append(
                    f"{one.task} was active on {one.worker.id} (run "
                    f"{one.number}) and on {other.worker.id} (run "
                    f"{other.number}) at once for {ended - began:.3f} s"
                )
    return found


def sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def disturb(system, job, posted, first, second):
    """Suspend the job's machine, kill its entry, and send the job again."""
    worker = system.list_runs(job)[0].worker
    agent = system.agents[system.workers.index(worker)]
    agent.signal(signal.SIGSTOP)
    worker.suspend()
    suspended_at = time.monotonic()
    system.record(f"the machine of {agent.name} is suspended")
    sleep_until(suspended_at + KILLED_AFTER_S)
    first.signal(signal.SIGKILL)
    killed_at = time.monotonic()
    first.wait(5.0)
    thread, replies = posted
    thread.join()
    if replies[0].status != 0:
        raise bed.CaseError(f"the job was answered {replies[0]}")
    sleep_until(replies[0].at + RESEND_S)
    posted = system.submit_aside(second, job, 1, TASK_MS, CPU, DEADLINE_MS)
    sleep_until(suspended_at + SUSPENDED_S)
    worker.resume()
    agent.signal(signal.SIGCONT)
    system.record(f"the machine of {agent.name} wakes")
    sleep_until(killed_at + DOWN_S)
    first.start()
    first.wait_ready()
    first.wait_agents(AGENTS)
    return posted


def play(system, trouble):
    found = []
    first, second = system.entries
    for _ in range(TRIES):
        job = bed.name_job()
        posted = system.submit_aside(
            first, job, 1, TASK_MS, CPU, DEADLINE_MS
        )
        system.wait_run(job)
        time.sleep(0.5)
        if trouble:
            posted = disturb(system, job, posted, first, second)
        posted[0].join(DEADLINE_MS / 1000 + 2.0)
        time.sleep(PAUSE_S)
        found += find_overlaps(system.list_runs(job))
        first, second = second, first
    return found


bed.run_case(HERE, ENTRIES, AGENTS, play)
