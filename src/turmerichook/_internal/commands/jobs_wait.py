"""``turmerichook jobs wait``."""

import asyncio
import collections.abc
import time
import typing

from turmerichook._internal.commands import jobs_show
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

POLL_S = 1.0

FINAL = frozenset(
    {
        jobs.JobState.COMPLETED.value,
        jobs.JobState.FAILED.value,
        jobs.JobState.CANCELLED.value,
    }
)


async def run(
    job: str,
    gateway: str,
    limit: float,
    report: collections.abc.Callable[[str], None],
) -> typing.Any:
    """Wait until a job has ended and return its record.

    :raises JobFailedError: if it failed or was cancelled.
    :raises JobPendingError: if it has not ended within ``limit`` seconds.
    """
    deadline = time.monotonic() + limit
    shown = ""
    while True:
        text = ""
        try:
            record = await jobs_show.run(job, gateway)
        except (
            exceptions.GatewayUnreachableError,
            exceptions.GatewayRefusedError,
        ) as error:
            # Gateways may be replaced while the job runs.
            text = error.message
        else:
            text = f"job {job} is {record['state']}"
            if record["state"] in FINAL:
                return _ended(record)
        if time.monotonic() >= deadline:
            raise exceptions.JobPendingError(
                message=f"job {job} has not ended within {limit:g} s",
                context=text,
                hint=f"see 'turmerichook explain job/{job}/0'",
            )
        if text != shown:
            report(text)
            shown = text
        await asyncio.sleep(POLL_S)


def _ended(record: dict) -> dict:
    if record["state"] == jobs.JobState.COMPLETED.value:
        return record
    raise exceptions.JobFailedError(
        message=f"job {record['id']} is {record['state']}",
        context=record.get("detail", ""),
    )
