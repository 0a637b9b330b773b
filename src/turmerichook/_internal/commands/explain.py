"""``turmerichook explain``: why a task waits or a request was refused."""

import asyncio
import urllib.parse

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import members
from turmerichook._internal.membership import records
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

SCHEDULER = "scheduler"
GATEWAY = "gateway"


async def task(name: str, context: contexts.Context) -> dict:
    """Return the state of a task, from its zone's owner or its job's record.

    :raises TaskUnknownError: if no owner has the task and the store has no
        record of its job.
    """
    try:
        return await _query_processes(context, SCHEDULER, "task", name)
    except exceptions.TaskUnknownError:
        job_description = await _describe_job(name, context)
        if job_description is None:
            raise
        return job_description


async def request(name: str, context: contexts.Context) -> dict:
    """Return a gateway's record of a refused request.

    :raises TaskUnknownError: if no gateway has a record of the request.
    """
    return await _query_processes(context, GATEWAY, "request", name)


async def _describe_job(name: str, context: contexts.Context) -> dict | None:
    """Return the job's state for a task that no owner has any more.

    None if the name is not that of a job's task, or the job has no record.
    """
    match name.split("/"):
        case ["job", job, _]:
            key = jobs.key_of(ids.JobId(job))
        case _:
            return None
    entry = await context.open_store().get(key)
    if isinstance(entry, outcomes.Absent):
        return None
    record = jobs.unpack(entry.value)
    return {
        "task": name,
        "phase": f"its job is {record.state.value}",
        "zone": record.home,
        "detail": record.detail,
    }


async def _query_processes(
    context: contexts.Context, role: str, key: str, name: str
) -> dict:
    process_records = await records.read_all(context.open_store())
    query = urllib.parse.urlencode({key: name})
    queried = [record for record in process_records if record.role == role]
    answers = await asyncio.gather(
        *(
            members.fetch(record.listen, f"/v1/explain?{query}")
            for record in queried
        )
    )
    for record, answer in zip(queried, answers):
        if answer is not None:
            return {"node": record.node, **answer}
    raise exceptions.TaskUnknownError(
        message=f"no {role} knows {key} {name}",
        context=f"{len(queried)} processes were queried",
        hint="tasks are named job/<job>/<number> or service/<name>/<number>",
    )
