"""``turmerichook config history``: list earlier generations."""

from turmerichook._internal.commands import config_show
from turmerichook._internal.commands import context as contexts


async def run(context: contexts.Context) -> list[dict]:
    """Return the generations that the store keeps, newest first."""
    heads = await context.applier().history()
    return [config_show.describe(head) for head in heads]
