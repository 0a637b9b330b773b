"""``turmerichook jobs show``: show one batch job."""

import typing

from turmerichook._internal.commands import gateway_calls


async def run(job: str, gateway: str) -> typing.Any:
    """Return a job's record."""
    target = gateway_calls.job_target(job)
    return await gateway_calls.call(gateway, "GET", target)
