"""``turmerichook explain``."""

import asyncio
import urllib.parse

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import members
from turmerichook._internal.membership import records
from turmerichook import exceptions

SCHEDULER = "scheduler"
GATEWAY = "gateway"


async def task(name: str, context: contexts.Context) -> dict:
    """Return what the zone's owner says about a task.

    :raises TaskUnknownError: if no owner knows the task.
    """
    return await _ask(context, SCHEDULER, "task", name)


async def request(name: str, context: contexts.Context) -> dict:
    """Return what a gateway says about a refused request.

    :raises TaskUnknownError: if no gateway remembers the request.
    """
    return await _ask(context, GATEWAY, "request", name)


async def _ask(
    context: contexts.Context, role: str, key: str, name: str
) -> dict:
    listed = await records.read_all(context.open_store())
    query = urllib.parse.urlencode({key: name})
    asked = [record for record in listed if record.role == role]
    answers = await asyncio.gather(
        *(
            members.fetch(record.listen, f"/v1/explain?{query}")
            for record in asked
        )
    )
    for record, answer in zip(asked, answers):
        if answer is not None:
            return {"node": record.node, **answer}
    raise exceptions.TaskUnknownError(
        message=f"no {role} knows {key} {name}",
        context=f"{len(asked)} asked",
        hint="tasks are named job/<job>/<number> or service/<name>/<number>",
    )
