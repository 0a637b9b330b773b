"""``turmerichook status``: the state of zones and processes."""

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
    member_records = await records.read_all(context.open_store())
    processes, views = await members.read(context, member_records)
    pulled = await config_pull.fetch(context, None)
    configuration = site.EMPTY
    if pulled.files:
        configuration = schema.parse(folder.merge(pulled.files))
    queues = await _queues(member_records, processes)
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
    member_records: list[records.Record], processes: list[dict]
) -> dict[str, dict]:
    owners = {p["node"] for p in processes if p["owned"]}
    owners |= {r.node for r in member_records if r.role == "scheduler"}
    answers = await asyncio.gather(
        *(
            members.fetch(record.listen, "/v1/status")
            for record in member_records
            if record.node in owners
        )
    )
    queues: dict[str, dict] = {}
    for answer in answers:
        if answer is None:
            continue
        for zone, queue in answer.get("zones", {}).items():
            epoch = answer["owned"].get(zone, 0)
            # Two processes may both report that they own a zone, until the
            # earlier owner notices that it has lost the ownership. The
            # higher epoch is the later owner's.
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
    configured = configuration.zones.get(zone)
    state = configured.state.value if configured else "not configured"
    zone_processes = [p for p in processes if p["zone"] == zone]
    ages = [p["age_s"] for p in zone_processes if p["age_s"] is not None]
    return {
        "zone": zone,
        "state": state,
        "processes": len(zone_processes),
        "oldest_view_s": max(ages, default=None),
        "queue": queues.get(zone),
    }
