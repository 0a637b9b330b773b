"""``turmerichook jobs submit``: submit a batch job."""

import json
import pathlib
import typing

from turmerichook._internal.commands import gateway_calls


async def run(file: pathlib.Path, gateway: str) -> typing.Any:
    """Submit the job in a TOML or JSON file and return its record.

    :raises JobInvalidError: if the file cannot be read or parsed.
    """
    document = gateway_calls.read_document(file)
    # Dates and times are the only TOML values that JSON cannot represent.
    # They are sent as strings, and the gateway reports the wrong type.
    body = json.dumps(document, default=str).encode()
    return await gateway_calls.call(gateway, "POST", "/v1/jobs", body)
