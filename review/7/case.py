"""One of eight runners crashes several times; no task fails by itself."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

from standin2 import runner
from standin2 import site
from turmerichook._internal.workflow import model

RUNNERS = 8
LASTING = [f"00000000000000d{number}" for number in range(2)]
# The runner is down for a second, then up for a while, and so on.
CRASHES = 5
DOWN_S = 0.3
UP_S = 1.2
# A client hands in a job every so often.
JOBS = 24
JOB_INTERVAL_S = 0.6
FINISH_S = 14.0
TASK = {"cpu": 1000, "mem-mb": 500}


def ordinary_job() -> dict:
    """Return a job with four tasks of 2.7 s."""
    return {
        "spec": json.dumps({"s": 2.7, "cpu": 1000}),
        "steps": [{"count": 4, **TASK, "estimate-ms": 2700}],
    }


def lasting_job() -> dict:
    """Return a job with a task that lasts for each runner."""
    step = {"count": RUNNERS, **TASK, "estimate-ms": 600_000}
    return {
        "spec": json.dumps({"s": 600, "cpu": 1000}),
        "steps": [{**step, "long-running": True}],
    }


async def crash_in_turn(platform: site.Site, worker: runner.Runner) -> None:
    """Let a runner go down and up by turns."""
    for _ in range(CRASHES):
        platform.note(
            f"{worker.name} crashes with "
            + ", ".join(f"{t.job} {t.text()}" for t in worker.state.running)
        )
        worker.crash_for(DOWN_S)
        await asyncio.sleep(DOWN_S + UP_S)


async def play(platform: site.Site, trouble: bool) -> bool:
    """Return whether the rule held."""
    for job in LASTING:
        if not await platform.hand_in(job, lasting_job()):
            raise RuntimeError("a lasting job was not accepted")
    await asyncio.sleep(3.0)
    crashing = None
    accepted = []
    for number in range(JOBS):
        job = f"{0xA000 + number:016x}"
        if await platform.hand_in(job, ordinary_job()):
            accepted.append(job)
        await asyncio.sleep(JOB_INTERVAL_S)
        if trouble and crashing is None and number >= 2:
            crashing = asyncio.create_task(
                crash_in_turn(platform, platform.workers[0])
            )
    if crashing is not None:
        await crashing
    platform.note(f"end of traffic; {len(accepted)} jobs accepted")
    await asyncio.sleep(FINISH_S)
    states = {job: await platform.look(job) for job in accepted}
    failed = [job for job in accepted if states[job] == "failed"]
    ends = [
        end
        for worker in platform.workers
        for end in worker.ended
        if end.kind is model.EndKind.FAILED
    ]
    platform.note(f"states: {states}")
    platform.note(f"ends `failed` on any runner: {len(ends)}")
    platform.note(f"shown as failed: {failed}")
    return not failed


async def main() -> int:
    folder = pathlib.Path(sys.argv[1])
    held = False
    trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        platform = site.Site(
            folder=pathlib.Path(temporary), workers=RUNNERS, entries=3
        )
        platform.workers = [
            runner.Runner(name=worker.name, zone=worker.zone)
            for worker in platform.workers
        ]
        try:
            await platform.start()
            held = await play(platform, trouble)
            platform.note_leaders()
            platform.note_failures()
            platform.note_runs()
        except Exception as error:
            platform.note(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await platform.stop()
            platform.note("the rule held" if held else "the rule didn't hold")
            (folder / "record.txt").write_text(
                "\n".join(platform.record) + "\n"
            )
    return 0 if held else 1


sys.exit(asyncio.run(main()))
