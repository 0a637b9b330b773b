"""Lists the live processes and the configuration that each of them has.

The store's ``members/`` records hold the processes and their addresses. One
reachable process of each zone then returns the data of the heartbeats that it
has received in its zone, which are at most a few seconds old.
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
# If this many processes of a zone do not answer, the zone's records in the
# store are used instead.
MAX_QUERIES_PER_ZONE = 3

Report = collections.abc.Callable[[str], None]


def ignore_progress(_: str) -> None:
    """Discard a progress report."""


async def highest_generation(context: contexts.Context) -> ids.Generation:
    """Return the highest generation in the store's records of processes."""
    member_records = await records.read_all(context.open_store())
    return ids.Generation(
        max((r.generation for r in member_records), default=0)
    )


async def read(
    context: contexts.Context,
    member_records: list[records.Record] | None = None,
) -> tuple[list[dict], list[dict]]:
    """Return all processes, and the answers of one process in each zone.

    :param member_records: the store's records; None reads them.
    """
    if member_records is None:
        member_records = await records.read_all(context.open_store())
    zones = sorted({record.zone for record in member_records})
    answers = await asyncio.gather(
        *(
            _query_zone([r for r in member_records if r.zone == zone])
            for zone in zones
        )
    )
    by_node = {record.node: _from_record(record) for record in member_records}
    views = [answer for answer in answers if answer is not None]
    for view in views:
        for member in view["members"]:
            previous = by_node.get(member["node"])
            own_zone = member["zone"] == view["zone"]
            if previous is None or own_zone or previous["age_s"] is None:
                by_node[member["node"]] = member
    return [by_node[node] for node in sorted(by_node)], views


async def wait(
    context: contexts.Context,
    head: bundle.Head,
    timeout_s: float,
    report: Report,
) -> dict:
    """Wait until all live processes have a generation.

    :raises ConfigurationPendingError: naming the processes that do not have it
        after ``timeout_s`` seconds.
    """
    started = time.monotonic()
    last_report = ""
    while True:
        members, _ = await _read_or_empty(context)
        lagging = [m for m in members if not has_generation(m, head)]
        elapsed = time.monotonic() - started
        if members and not lagging:
            return {"all": len(members), "seconds": round(elapsed, 2)}
        if elapsed >= timeout_s:
            raise _pending(head, members, lagging)
        text = f"{len(members) - len(lagging)} of {len(members)} processes"
        if text != last_report:
            report(f"{text} have generation {head.generation}")
            last_report = text
        await asyncio.sleep(POLL_S)


def has_generation(member: dict, head: bundle.Head) -> bool:
    """Tell whether a process has the generation of a head or a later one."""
    if member["generation"] != head.generation:
        return member["generation"] > head.generation
    # After a restore of the store, two different generations may have the
    # same number, so the digests are compared too.
    return head.digest.startswith(member["digest"])


async def _read_or_empty(
    context: contexts.Context,
) -> tuple[list[dict], list[dict]]:
    try:
        return await read(context)
    except exceptions.StoreError:
        # The new generation is already in the store. Only the list of
        # processes cannot be read, so the wait continues.
        return [], []


def _pending(
    head: bundle.Head, members: list[dict], lagging: list[dict]
) -> exceptions.ConfigurationPendingError:
    names = ", ".join(f"{m['node']} ({_lag_reason(m, head)})" for m in lagging)
    return exceptions.ConfigurationPendingError(
        message=f"{len(lagging)} of {len(members)} processes do not have"
        f" generation {head.generation}",
        context=names or "no process is known",
        note="the generation is applied; the other processes keep"
        " requesting it",
        hint="see docs/operators/night-call.md",
    )


def _lag_reason(member: dict, head: bundle.Head) -> str:
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


async def _query_zone(member_records: list[records.Record]) -> dict | None:
    for record in member_records[:MAX_QUERIES_PER_ZONE]:
        document = await fetch(record.listen, "/v1/members")
        if document is not None:
            return document
    return None


async def fetch(address: str, target: str) -> typing.Any:
    """Return the JSON answer of a process.

    None if the process does not answer, or not with status 200.
    """
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
