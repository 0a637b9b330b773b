"""HTTP calls from the operators' commands to a gateway."""

import json
import pathlib
import tomllib
import typing
import urllib.parse

from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook import exceptions

TIMEOUT_S = 10.0

STATUS_ERRORS = {
    400: exceptions.JobInvalidError,
    404: exceptions.JobNotFoundError,
    409: exceptions.JobConflictError,
}


def job_target(job: str) -> str:
    """Return the URL path of a job."""
    return "/v1/jobs/" + urllib.parse.quote(job, safe="")


def read_document(file: pathlib.Path) -> dict[str, typing.Any]:
    """Return the table in a file: JSON if its suffix is .json, else TOML.

    :raises JobInvalidError: if the file cannot be read or parsed.
    """
    try:
        text = file.read_bytes().decode("utf-8")
    except OSError as error:
        raise exceptions.JobInvalidError(
            message=f"cannot read {file}: {error.strerror}",
            hint="check the path and its permissions",
        ) from error
    except UnicodeDecodeError as error:
        raise exceptions.JobInvalidError(
            message=f"{file} is not UTF-8 at byte {error.start}",
            hint="save the file in UTF-8",
        ) from error
    try:
        if file.suffix == ".json":
            document = json.loads(text)
        else:
            document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise exceptions.JobInvalidError(
            message=f"{file}: {error}",
            hint="write a TOML file, or JSON in a file named *.json",
        ) from error
    if not isinstance(document, dict):
        raise exceptions.JobInvalidError(
            message=f"{file} must hold one table or object",
        )
    return document


async def call(
    gateway: str, method: str, target: str, body: bytes = b""
) -> typing.Any:
    """Return the JSON answer of a gateway.

    :raises TurmerichookError: if the gateway does not answer, or answers with
        an error status; the status determines the type.
    """
    host, port = addresses.split(gateway)
    pool = calls.CallPool(host=host, port=port, connections=1)
    try:
        answer = await pool.call(
            method=method, target=target, body=body, timeout=TIMEOUT_S
        )
    except exceptions.ExchangeError as error:
        raise _unreachable(gateway, method, error) from error
    finally:
        pool.close()
    document = answer.json()
    if answer.status < 400:
        return document
    raise _refusal(answer.status, document)


def _unreachable(
    gateway: str, method: str, error: exceptions.ExchangeError
) -> exceptions.GatewayUnreachableError:
    nothing_sent = error.progress is exceptions.Progress.NOTHING_SENT
    outcome = "nothing was sent"
    if method != "GET" and not nothing_sent:
        outcome = "the outcome is unknown; repeating the command is safe"
    return exceptions.GatewayUnreachableError(
        message=f"the gateway {gateway} gave no answer",
        context=error.message,
        note=outcome,
        hint="check --gateway and whether the gateway runs",
    )


def _refusal(status: int, document: dict) -> exceptions.TurmerichookError:
    error_type = STATUS_ERRORS.get(status, exceptions.GatewayRefusedError)
    error = error_type(
        message=document.get("title", "refused"),
        context=f"outcome {document.get('outcome', 'unknown')}",
        note=document.get("detail", ""),
    )
    if "code" in document:
        error.reference = str(document["code"])
    return error
