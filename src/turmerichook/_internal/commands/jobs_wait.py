"""``turmerichook jobs wait``: wait until a batch job has ended."""

import asyncio
import collections.abc
import time
import typing

from turmerichook._internal.commands import jobs_show
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

POLL_S = 1.0

FINAL_STATES = frozenset(
    {
        jobs.JobState.COMPLETED.value,
        jobs.JobState.FAILED.value,
        jobs.JobState.CANCELLED.value,
    }
)


async def run(
    job: str,
    gateway: str,
    timeout_s: float,
    report: collections.abc.Callable[[str], None],
) -> typing.Any:
    """Wait until a job has ended and return its record.

    :raises JobFailedError: if the job failed or was cancelled.
    :raises JobPendingError: if the job has not ended within ``timeout_s``
        seconds.
    """
    deadline = time.monotonic() + timeout_s
    last_report = ""
    while True:
        text = ""
        try:
            record = await jobs_show.run(job, gateway)
        except (
            exceptions.GatewayUnreachableError,
            exceptions.GatewayRefusedError,
        ) as error:
            # Gateways may restart while the job runs, so the next poll
            # tries again.
            text = error.message
        else:
            text = f"job {job} is {record['state']}"
            if record["state"] in FINAL_STATES:
                return _require_completed(record)
        if time.monotonic() >= deadline:
            raise exceptions.JobPendingError(
                message=f"job {job} has not ended within {timeout_s:g} s",
                context=text,
                hint=f"see 'turmerichook explain job/{job}/0'",
            )
        if text != last_report:
            report(text)
            last_report = text
        await asyncio.sleep(POLL_S)


def _require_completed(record: dict) -> dict:
    if record["state"] == jobs.JobState.COMPLETED.value:
        return record
    raise exceptions.JobFailedError(
        message=f"job {record['id']} is {record['state']}",
        context=record.get("detail", ""),
    )
