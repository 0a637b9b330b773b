"""``turmerichook jobs submit``."""

import json
import pathlib
import typing

from turmerichook._internal.commands import gateway_calls


async def run(file: pathlib.Path, gateway: str) -> typing.Any:
    """Submit the job in a TOML or JSON file and return its record.

    :raises JobInvalidError: if the file cannot be read.
    """
    document = gateway_calls.read_document(file)
    # Dates are the only TOML values that JSON does not know; the gateway
    # then reports the type.
    body = json.dumps(document, default=str).encode()
    return await gateway_calls.call(gateway, "POST", "/v1/jobs", body)
