"""The store carries a submission out after its cancel was answered."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

from standin2 import late_store
from standin2 import runner
from standin2 import site
from turmerichook._internal.dispatch import keys

RUNNERS = 4
JOB = "00000000000000b1"
# The write is carried out this long after it was sent, as the store may do it
# 1 to 6 s later.
LATE_S = 4.0
# The process sends the write twice in the time that it has.
LATE_WRITES = 2
# Bounds of the site: cancel_ms, and contact-ms, after which the store counts
# as stable again.
CANCEL_S = 3.0
CONTACT_S = 3.0
STEP_S = 4.0
# Largest share of the writes whose answers may be lost, and the time in which.
LOST_SHARE_MAX = 0.35
LOST_S = 4.5
# Meanwhile other clients hand in a job every so often.
OTHER_JOBS = 12
OTHER_INTERVAL_S = 0.35
WATCHED_S = 20.0
TASK = {"cpu": 500, "mem-mb": 100, "estimate-ms": 4000}


def job() -> dict:
    """Return a job of three steps, one after the other."""
    return {
        "spec": json.dumps({"s": STEP_S, "cpu": 500}),
        "steps": [
            {"count": 2, **TASK},
            {"count": 2, "after": [0], **TASK},
            {"count": 2, "after": [1], **TASK},
        ],
    }


def other_job() -> dict:
    """Return a job with one short task."""
    return {
        "spec": json.dumps({"s": 0.2, "cpu": 500}),
        "steps": [{"count": 1, **TASK, "estimate-ms": 200}],
    }


async def other_clients(platform: site.Site) -> None:
    """Hand other jobs in, one after the other."""
    for number in range(OTHER_JOBS):
        entry = platform.entries[1 + number % 2]
        await platform.ask(
            entry, "POST", f"{0xA000 + number:016x}", other_job()
        )
        await asyncio.sleep(OTHER_INTERVAL_S)


def starts(platform: site.Site) -> list[tuple[float, str, str]]:
    """Return time, task and runner of each start of the job's tasks."""
    return sorted(
        (at, task.text(), worker.name)
        for worker in platform.workers
        for task, at in worker.started_at
        if task.job == JOB
    )


async def cancel(platform: site.Site) -> bool:
    """Cancel the job as a client does; return whether it was answered."""
    for entry in (platform.entries[1], platform.entries[2]):
        status, _ = await platform.ask(entry, "DELETE", JOB)
        if 200 <= status < 300 or status == 410:
            return True
        await asyncio.sleep(0.5)
    return False


async def play(platform: site.Site, trouble: bool) -> bool:
    """Return whether the rule held."""
    if trouble:
        platform.note("the store carries the next submission out late")
        platform.store.late_key = keys.job(JOB)
        platform.store.late_count = LATE_WRITES
        platform.store.delay = LATE_S
    began = time.monotonic()
    changes_before = platform.store.changes
    others = asyncio.create_task(other_clients(platform))
    status, _ = await platform.ask(platform.entries[0], "POST", JOB, job())
    if trouble and status != 504:
        raise RuntimeError(f"the submission was answered with {status}")
    # The client gives the job up instead of sending it again.
    if not await cancel(platform):
        raise RuntimeError("the cancel was not answered")
    canceled_at = time.monotonic()
    platform.note("the cancel is acknowledged")
    store = platform.store
    await asyncio.sleep(began + LOST_S - time.monotonic())
    changes = store.changes - changes_before
    await others
    await asyncio.sleep(WATCHED_S)
    stable_at = began
    if trouble:
        if store.outcomes[:1] != ["done"]:
            raise RuntimeError(f"the late writes: {store.outcomes}")
        platform.note(
            f"late writes: {store.outcomes}, the last one"
            f" {store.done_at - began:.2f} s after the submission;"
            f" {changes} writes under a condition in {LOST_S} s"
        )
        if LATE_WRITES > LOST_SHARE_MAX * changes:
            raise RuntimeError("too large a share of the answers was lost")
        stable_at = store.done_at + CONTACT_S
    late = []
    for at, task, worker in starts(platform):
        after = at - canceled_at
        counts = after > CANCEL_S and at > stable_at
        platform.note(
            f"{task} started on {worker} {after:.2f} s after the cancel"
            + ("; this counts" if counts else "")
        )
        if counts:
            late.append(task)
    platform.note(f"state at the end: {await platform.look(JOB)}")
    return not late


async def main() -> int:
    folder = pathlib.Path(sys.argv[1])
    held = False
    trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        platform = site.Site(
            folder=pathlib.Path(temporary), workers=RUNNERS, entries=3
        )
        platform.store = late_store.LateStore()
        platform.workers = [
            runner.Runner(name=worker.name, zone=worker.zone)
            for worker in platform.workers
        ]
        try:
            await platform.start()
            held = await play(platform, trouble)
            platform.note("the rule held" if held else "the rule didn't hold")
            platform.note_leaders()
            platform.note_runs()
        except Exception as error:
            platform.note(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await platform.stop()
            (folder / "record.txt").write_text(
                "\n".join(platform.record) + "\n"
            )
    return 0 if held else 1


sys.exit(site.run(main))
