"""``turmerichook config show``: describe the generation in force."""

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.configuration import bundle
from turmerichook._internal import outcomes


def describe(head: bundle.Head) -> dict:
    """Return the fields of a generation's head that commands print."""
    return {
        "generation": head.generation,
        "digest": head.digest,
        "author": head.author,
        "applied": head.applied,
        "operation": head.operation,
    }


async def run(context: contexts.Context) -> dict:
    """Return the head of the generation in force.

    Before the first apply, the document holds only the generation 0.
    """
    current = await context.applier().current()
    if isinstance(current, outcomes.Absent):
        return {"generation": 0}
    return describe(current[0])
