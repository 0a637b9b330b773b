"""``turmerichook jobs show``."""

import typing
import urllib.parse

from turmerichook._internal.commands import gateway_calls


async def run(job: str, gateway: str) -> typing.Any:
    """Return a job's record."""
    target = "/v1/jobs/" + urllib.parse.quote(job, safe="")
    return await gateway_calls.call(gateway, "GET", target)
