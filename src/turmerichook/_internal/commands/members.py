"""Which processes live, and which configuration each of them has.

The store's ``members/`` records name the processes and their addresses. One
reachable process of each zone then tells what the heartbeats of its zone
said, which is at most a few seconds old.
"""

import asyncio
import collections.abc
import time
import typing

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.configuration import bundle
from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.membership import records
from turmerichook._internal.models import ids
from turmerichook import exceptions

CALL_TIMEOUT_S = 2.0
POLL_S = 0.25
# Processes of a zone that are asked before its records are used instead.
ASKED_PER_ZONE = 3

Report = collections.abc.Callable[[str], None]


def silent(_: str) -> None:
    """Report no progress."""


async def highest_generation(context: contexts.Context) -> ids.Generation:
    """Return the highest generation that any process recorded."""
    found = await records.read_all(context.open_store())
    return ids.Generation(max((r.generation for r in found), default=0))


async def read(
    context: contexts.Context, listed: list[records.Record] | None = None
) -> tuple[list[dict], list[dict]]:
    """Return all processes, and the answers of one process in each zone.

    :param listed: records that were read before; None reads them.
    """
    if listed is None:
        listed = await records.read_all(context.open_store())
    zones = sorted({record.zone for record in listed})
    answers = await asyncio.gather(
        *(_ask([r for r in listed if r.zone == zone]) for zone in zones)
    )
    found = {record.node: _from_record(record) for record in listed}
    views = [answer for answer in answers if answer is not None]
    for view in views:
        for member in view["members"]:
            known = found.get(member["node"])
            own_zone = member["zone"] == view["zone"]
            if known is None or own_zone or known["age_s"] is None:
                found[member["node"]] = member
    return [found[node] for node in sorted(found)], views


async def wait(
    context: contexts.Context,
    head: bundle.Head,
    limit: float,
    report: Report,
) -> dict:
    """Wait until all live processes have a generation.

    :raises ConfigurationPendingError: naming those that do not.
    """
    began = time.monotonic()
    reported = ""
    while True:
        members, _ = await _read_patiently(context)
        behind = [m for m in members if not has_generation(m, head)]
        elapsed = time.monotonic() - began
        if members and not behind:
            return {"all": len(members), "seconds": round(elapsed, 2)}
        if elapsed >= limit:
            raise _pending(head, members, behind)
        text = f"{len(members) - len(behind)} of {len(members)} processes"
        if text != reported:
            report(f"{text} have generation {head.generation}")
            reported = text
        await asyncio.sleep(POLL_S)


def has_generation(member: dict, head: bundle.Head) -> bool:
    """Tell whether a process has a generation or a later one."""
    if member["generation"] != head.generation:
        return member["generation"] > head.generation
    # After the store was restored, two different generations may have the
    # same number.
    return head.digest.startswith(member["digest"])


async def _read_patiently(
    context: contexts.Context,
) -> tuple[list[dict], list[dict]]:
    try:
        return await read(context)
    except exceptions.StoreError:
        # The change is in the store already; only the names are missing.
        return [], []


def _pending(
    head: bundle.Head, members: list[dict], behind: list[dict]
) -> exceptions.ConfigurationPendingError:
    names = ", ".join(f"{m['node']} ({_why(m, head)})" for m in behind)
    return exceptions.ConfigurationPendingError(
        message=f"{len(behind)} of {len(members)} processes do not have"
        f" generation {head.generation}",
        context=names or "no process is known",
        note="the generation is applied; the others go on asking for it",
        hint="see docs/operators/night-call.md",
    )


def _why(member: dict, head: bundle.Head) -> str:
    if member["rejected"] >= head.generation:
        return "does not understand it"
    if member["generation"] == head.generation:
        return f"generation {member['generation']} with other files"
    return f"generation {member['generation']}"


def _from_record(record: records.Record) -> dict:
    return {
        "node": record.node,
        "role": record.role,
        "zone": record.zone,
        "generation": record.generation,
        "digest": record.digest.hex(),
        "rejected": 0,
        "owned": {},
        "age_s": None,
    }


async def _ask(listed: list[records.Record]) -> dict | None:
    for record in listed[:ASKED_PER_ZONE]:
        document = await fetch(record.listen, "/v1/members")
        if document is not None:
            return document
    return None


async def fetch(address: str, target: str) -> typing.Any:
    """Return the JSON answer of a process, None if there is none."""
    host, port = addresses.split(address)
    pool = calls.CallPool(host=host, port=port, connections=1)
    try:
        answer = await pool.call(
            method="GET", target=target, timeout=CALL_TIMEOUT_S
        )
        return answer.json() if answer.status == 200 else None
    except exceptions.TurmerichookError:
        return None
    finally:
        pool.close()
