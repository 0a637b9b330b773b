"""The leader is killed while many small tasks of one runner end."""

import asyncio
import pathlib

from standin import site as sites

JOB = "5c0e7a21d94b36f8"
TASKS = 640
TASK_MS = 9000
MORE_MS = 2


async def case(site):
    """Run a wide step on one runner; kill the leader as its tasks end."""
    await site.start(runner_labels=[["a", "r1-1"], ["a", "r1-2"], ["b", "r1-3"]])
    step = {
        "count": TASKS, "cpu": 24, "mem-mb": 64, "estimate-ms": TASK_MS,
        "requires": "b",
    }
    await site.submit(JOB, {"ms": TASK_MS, "more-ms": MORE_MS}, [step])

    async def all_started():
        return len({r["task"] for r in site.of("start")}) == TASKS

    await site.until(all_started, 20, "start of all tasks")
    first = site.of("start")[0]["at"]
    last = site.of("start")[-1]["at"]

    async def first_end():
        return bool(site.of("end"))

    await site.until(first_end, 20, "end of a task")
    if sites.TROUBLE:
        (await site.leader()).kill()
    state = await site.wait_final(JOB, 45)
    await asyncio.sleep(2.0)
    again = sites.done_twice(site)
    findings = [
        f"TWICE: {start['task']} run {start['run']} started at {start['at']};"
        f" run {end['run']} had ended done at {end['at']},"
        f" taken note of at {noted}"
        for start, end, noted in again
    ]
    lines = [
        f"tasks {TASKS}, started from {first} to {last}",
        f"runs that ended done: {sum(r['how'] == 'done' for r in site.of('end'))}",
        f"starts after a noted end: {len(again)}",
        f"most ends open at a time: {sites.most_open_ends(site)}",
        f"state of the job: {state}",
    ]
    return findings, lines


sites.main(pathlib.Path(__file__).parent, case)
