"""Another writer leaves one odd entry among those of the runners."""

import asyncio
import json
import pathlib

from standin import site as sites

JOBS = 6
TASK_MS = 1000
# A loopback address with the name of a network interface behind it.
ODD_ADDRESS = "::1%br-" + "5c0e7a21d94b36f8" * 4 + ":8080"
IDLE_S = 3.0
FINISH_S = 14.0


async def case(site):
    """Leave an odd entry; then hand jobs in, and ask for them at the end."""
    await site.start(runner_labels=[["a", f"r1-{n}"] for n in range(8)])
    if sites.TROUBLE:
        entry = {
            "service": "other", "address": ODD_ADDRESS, "zone": "krakow",
            "state": "ready", "free-capacity": {}, "labels": [],
        }
        site.store.put("servers/i-00ff91c2", json.dumps(entry).encode())
        site.record("odd-entry", entry=entry)
        await asyncio.sleep(2.0)
    step = {"count": 4, "cpu": 1400, "mem-mb": 2800, "estimate-ms": TASK_MS}
    names = [f"{0x5c0e7a21d94b0000 + n:016x}" for n in range(JOBS)]
    for name in names:
        await site.submit(name, {"ms": TASK_MS}, [step, {**step, "after": [0]}])
    await asyncio.sleep(FINISH_S + IDLE_S)
    states = {name: await site.wait_final(name, 5) for name in names}
    findings = [
        f"LOST: job {name} is {state} {FINISH_S + IDLE_S:.0f} s after the last"
        f" submission, {len(site.running(name))} of its tasks run, and the"
        " runners are free"
        for name, state in states.items()
        if state != "completed"
    ]
    leaders = sum(
        '"leadership-gained"' in line
        for entry in site.entries
        for line in entry.log.read_text().splitlines()
    )
    lines = [
        f"states: {sorted(states.values())}",
        f"starts: {len(site.of('start'))} of {JOBS * 8} at least",
        f"terms of leaders: {leaders}",
    ]
    return findings, lines


sites.main(pathlib.Path(__file__).parent, case)
