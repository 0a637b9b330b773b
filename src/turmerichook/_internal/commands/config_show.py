"""``turmerichook config show``."""

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.configuration import bundle
from turmerichook._internal import outcomes


def describe(head: bundle.Head) -> dict:
    """Return a head for people and programs."""
    return {
        "generation": head.generation,
        "digest": head.digest,
        "author": head.author,
        "applied": head.applied,
        "operation": head.operation,
    }


async def run(context: contexts.Context) -> dict:
    """Return the head in force."""
    found = await context.applier().current()
    if isinstance(found, outcomes.Absent):
        return {"generation": 0}
    return describe(found[0])
