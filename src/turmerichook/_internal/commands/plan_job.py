"""``turmerichook plan job``: where a job would go now, without sending it."""

import json
import pathlib
import typing
import urllib.parse

from turmerichook._internal.commands import gateway_calls
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.http import heads
from turmerichook._internal.platform import caller_calls
from turmerichook import exceptions

TIMEOUT_S = 5.0
PATH = "/plan"


async def run(
    file: pathlib.Path,
    *,
    entries: list[str],
    host: str,
    path: str,
    key_file: pathlib.Path | None,
) -> dict[str, typing.Any]:
    """Return the plan of the job in a TOML or JSON file.

    :param entries: ``ip:port`` at which entry processes serve metrics; they
        are asked in turn until one leads.
    :param host: host name of the queue.
    :param path: path that callers would send the job to.
    :param key_file: file with the customer's key, if the queue needs one.
    :raises JobInvalidError: if the file or the job is malformed.
    :raises PlanRefusedError: if there is no such queue, or the key is wrong.
    :raises LeaderUnknownError: if none of the processes leads, or the one
        that does may have an old view.
    :raises EntryUnreachableError: if no process answers.
    """
    body = json.dumps(gateway_calls.read_document(file), default=str).encode()
    query = urllib.parse.urlencode({"host": host, "path": path})
    headers = (
        []
        if key_file is None
        else [(caller_calls.KEY_HEADER, _read_key(key_file))]
    )
    answers = []
    for entry in entries:
        answer = await _ask(entry, f"{PATH}?{query}", body, headers)
        if answer is None:
            continue
        answers.append(entry)
        match answer.status:
            case 200:
                return {"entry": entry, **answer.json()}
            case 409 | 503:
                continue
            case 400:
                raise exceptions.JobInvalidError(message=_reason(answer))
            case _:
                raise exceptions.PlanRefusedError(
                    message=_reason(answer), context=entry
                )
    if not answers:
        raise exceptions.EntryUnreachableError(
            message=f"none of {len(entries)} entry processes answers",
            hint="check --entry, the addresses that serve metrics",
        )
    raise exceptions.LeaderUnknownError(
        message="no entry process that answers leads with a current view",
        context=", ".join(answers),
        hint="name the other entry processes with --entry too, or try again",
    )


def _read_key(file: pathlib.Path) -> bytes:
    try:
        return file.read_bytes().strip()
    except OSError as error:
        raise exceptions.PlanRefusedError(
            message=f"cannot read {file}: {error.strerror}"
        ) from error


async def _ask(
    entry: str, target: str, body: bytes, headers: heads.Headers
) -> calls.Answer | None:
    """Return an entry process' answer, or None if it does not answer."""
    host, port = addresses.split(entry)
    pool = calls.CallPool(host=host, port=port, connections=1)
    try:
        return await pool.call(
            method="POST",
            target=target,
            body=body,
            headers=headers,
            timeout=TIMEOUT_S,
        )
    except exceptions.ExchangeError:
        return None
    finally:
        pool.close()


def _reason(answer: calls.Answer) -> str:
    try:
        return str(answer.json()["error"])
    except (exceptions.MessageError, ValueError, LookupError, TypeError):
        return f"status {answer.status}"
