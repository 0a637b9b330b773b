"""``turmerichook drain``: take a zone out and wait until it is empty."""

import asyncio
import collections.abc
import pathlib
import time

from turmerichook._internal.commands import config_apply
from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import status
from turmerichook._internal.commands import zone as zones
from turmerichook._internal.models import site
from turmerichook import exceptions

POLL_S = 1.0


async def run(
    directory: pathlib.Path,
    zone: str,
    context: contexts.Context,
    timeout_s: float,
    report: collections.abc.Callable[[str], None],
) -> dict:
    """Take a zone out, and wait until nothing runs there.

    :raises DrainPendingError: if tasks still run, or no owner of the zone
        answers, after ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    zones.run(directory, zone, site.ZoneState.OUT)
    options = config_apply.Options(wait=timeout_s)
    applied = await config_apply.run(directory, context, options, report)
    last_report = ""
    while True:
        running = _running_tasks(await status.run(context), zone)
        if running == 0:
            return {
                "zone": zone,
                "generation": applied["generation"],
                "running": 0,
            }
        text = "the zone has no owner that answers"
        if running is not None:
            text = f"{running} tasks run in {zone}"
        if time.monotonic() >= deadline:
            raise exceptions.DrainPendingError(
                message=f"{zone} is not empty after {timeout_s:g} s",
                context=text,
                note="the zone is out; it gets no new work",
                hint="run the command again to go on waiting",
            )
        if text != last_report:
            report(text)
            last_report = text
        await asyncio.sleep(POLL_S)


def _running_tasks(document: dict, zone: str) -> int | None:
    for entry in document["zones"]:
        if entry["zone"] == zone and entry["queue"]:
            return entry["queue"]["running"]
    return None
