"""Calls from the command line to a gateway."""

import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook import exceptions

TIMEOUT = 10.0

STATUS_ERRORS = {
    400: exceptions.JobInvalidError,
    404: exceptions.JobNotFoundError,
    409: exceptions.JobConflictError,
}


async def call(
    gateway: str, method: str, target: str, body: bytes = b""
) -> typing.Any:
    """Return the JSON answer of a gateway.

    :raises TurmerichookError: of the type that the refusal stands for.
    """
    host, port = addresses.split(gateway)
    pool = calls.CallPool(host=host, port=port, connections=1)
    answer = await pool.call(
        method=method, target=target, body=body, timeout=TIMEOUT
    )
    pool.close()
    document = answer.json()
    if answer.status < 400:
        return document
    kind = STATUS_ERRORS.get(answer.status, exceptions.StoreUnavailableError)
    raise kind(
        message=document.get("title", "refused"),
        context=f"outcome {document.get('outcome', 'unknown')}",
    )
