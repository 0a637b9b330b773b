"""``turmerichook config show``."""

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.http import addresses
from turmerichook._internal import outcomes
from turmerichook._internal.platform import store_http


async def run(store: str) -> dict:
    """Return the head in force."""
    host, port = addresses.split(store)
    applier = apply.Applier(
        store=store_http.HttpStore(host=host, port=port),
        clock=clocks.SystemClock(),
    )
    found = await applier.current()
    if isinstance(found, outcomes.Absent):
        return {"generation": 0}
    head, _ = found
    return {
        "generation": head.generation,
        "digest": head.digest,
        "author": head.author,
        "applied": head.applied,
    }
