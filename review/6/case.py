"""One accepted job with many steps, and the jobs that come after it."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

from standin2 import site

STEPS = 800
LARGE = "00000000000000b1"
# A client hands in an ordinary job each second.
ORDINARY = [f"00000000000000c{number}" for number in range(5)]
# Bounds of the site: finish_s, and the time without anything running.
FINISH_S = 14.0
IDLE_S = 3.0
TIME_LIMIT_S = 100.0
TASK = {"cpu": 500, "mem-mb": 100, "estimate-ms": 300}


def large_job(trouble: bool) -> dict:
    """Return a job with 800 tasks: one a step, or all in one step."""
    steps = (
        [{"count": 1, **TASK} for _ in range(STEPS)]
        if trouble
        else [{"count": STEPS, **TASK}]
    )
    return {"spec": json.dumps({"s": 0.2, "cpu": 500}), "steps": steps}


def ordinary_job() -> dict:
    """Return a job with two tasks."""
    return {
        "spec": json.dumps({"s": 0.3, "cpu": 500}),
        "steps": [{"count": 2, **TASK}],
    }


async def play(platform: site.Site, trouble: bool) -> bool:
    """Return whether the rule held."""
    if not await platform.hand_in("00000000000000a1", ordinary_job()):
        raise RuntimeError("the first job was not accepted")
    await platform.wait_for(
        platform.entries[0], "00000000000000a1", "completed"
    )
    document = large_job(trouble)
    platform.note(
        f"job {LARGE}: {len(document['steps'])} steps,"
        f" {len(json.dumps(document))} bytes"
    )
    if not await platform.hand_in(LARGE, document):
        raise RuntimeError("the large job was not accepted")
    clients = []
    for job in ORDINARY:
        await asyncio.sleep(1.0)
        clients.append(
            asyncio.create_task(platform.hand_in(job, ordinary_job()))
        )
    accepted = [LARGE] + [
        job
        for job, stored in zip(
            ORDINARY, await asyncio.gather(*clients), strict=True
        )
        if stored
    ]
    platform.note(f"end of traffic; accepted: {', '.join(accepted)}")
    started_before = len(platform.starts())
    await asyncio.sleep(FINISH_S)
    looks = await asyncio.gather(*map(platform.look, accepted))
    states = dict(zip(accepted, looks, strict=True))
    standing = [job for job in accepted if states[job] != "completed"]
    platform.note(f"finish_s after the end of traffic: {states}")
    # A job that isn't complete must have something running, as hardly any of
    # the runners' capacity is in use.
    began = time.monotonic()
    idle = set(standing)
    while idle and time.monotonic() - began < IDLE_S:
        running = {
            task.job for w in platform.workers for task in w.state.running
        }
        idle -= running
        await asyncio.sleep(0.05)
    platform.note(
        f"starts since the end of traffic:"
        f" {len(platform.starts()) - started_before}"
    )
    platform.note(f"nothing running for {IDLE_S} s: {sorted(idle)}")
    unanswered = [job for job in accepted if states[job] in ("", "410")]
    platform.note(f"not known, or no answer in time: {unanswered}")
    return not idle and not unanswered


async def main() -> int:
    folder = pathlib.Path(sys.argv[1])
    held = False
    trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        platform = site.Site(
            folder=pathlib.Path(temporary), workers=6, entries=3
        )
        try:
            await platform.start()
            async with asyncio.timeout(TIME_LIMIT_S):
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
