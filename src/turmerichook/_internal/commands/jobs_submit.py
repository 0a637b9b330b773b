"""``turmerichook jobs submit``."""

import pathlib
import typing

from turmerichook._internal.commands import gateway_calls
from turmerichook import exceptions


async def run(file: pathlib.Path, gateway: str) -> typing.Any:
    """Submit the job in a JSON file and return its record.

    :raises JobInvalidError: if the file cannot be read.
    """
    try:
        body = file.read_bytes()
    except OSError as error:
        raise exceptions.JobInvalidError(
            message=f"cannot read {file}: {error.strerror}",
        ) from error
    return await gateway_calls.call(gateway, "POST", "/v1/jobs", body)
