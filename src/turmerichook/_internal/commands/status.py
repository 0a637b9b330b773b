"""``turmerichook status``."""

import asyncio

from turmerichook._internal.commands import config_pull
from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import members
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import schema
from turmerichook._internal.membership import records
from turmerichook._internal.models import site


async def run(context: contexts.Context) -> dict:
    """Return zones, owners, queues, hosts and processes."""
    listed = await records.read_all(context.open_store())
    processes, views = await members.read(context, listed)
    pulled = await config_pull.fetch(context, None)
    configuration = site.EMPTY
    if pulled.files:
        configuration = schema.parse(folder.merge(pulled.files))
    queues = await _queues(listed, processes)
    zones = sorted({*configuration.zones, *(p["zone"] for p in processes)})
    return {
        "generation": pulled.generation,
        "zones": [
            _zone(zone, configuration, processes, queues) for zone in zones
        ],
        "processes": processes,
        "views": [
            {
                "zone": view["zone"],
                "node": view["node"],
                "reads_store": view["reads_store"],
                "live_gateways": view["live_gateways"],
                "gateways": view["gateways"],
            }
            for view in views
        ],
    }


async def _queues(
    listed: list[records.Record], processes: list[dict]
) -> dict[str, dict]:
    owners = {p["node"] for p in processes if p["owned"]}
    owners |= {r.node for r in listed if r.role == "scheduler"}
    answers = await asyncio.gather(
        *(
            members.fetch(record.listen, "/v1/status")
            for record in listed
            if record.node in owners
        )
    )
    queues: dict[str, dict] = {}
    for answer in answers:
        if answer is None:
            continue
        for zone, queue in answer.get("zones", {}).items():
            epoch = answer["owned"].get(zone, 0)
            # Two processes may both say that they own a zone while one of
            # them has not yet noticed that it no longer does.
            if epoch >= queues.get(zone, {}).get("epoch", 0):
                queues[zone] = {
                    **queue,
                    "owner": answer["node"],
                    "epoch": epoch,
                }
    return queues


def _zone(
    zone: str,
    configuration: site.Configuration,
    processes: list[dict],
    queues: dict[str, dict],
) -> dict:
    known = configuration.zones.get(zone)
    state = known.state.value if known else "not configured"
    here = [p for p in processes if p["zone"] == zone]
    ages = [p["age_s"] for p in here if p["age_s"] is not None]
    return {
        "zone": zone,
        "state": state,
        "processes": len(here),
        "oldest_view_s": max(ages, default=None),
        "queue": queues.get(zone),
    }
