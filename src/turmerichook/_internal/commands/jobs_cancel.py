"""``turmerichook jobs cancel``: cancel batch jobs."""

import json
import typing

from turmerichook._internal.commands import gateway_calls


async def run(jobs: tuple[str, ...], gateway: str) -> typing.Any:
    """Cancel jobs with one request, recorded in one write for all."""
    body = json.dumps({"jobs": list(jobs)}).encode()
    target = "/v1/cancellations"
    return await gateway_calls.call(gateway, "POST", target, body)
