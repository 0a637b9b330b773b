"""``turmerichook config apply``."""

import pathlib

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.configuration import reading
from turmerichook._internal.http import addresses
from turmerichook._internal.platform import store_http


async def run(directory: pathlib.Path, store: str, author: str) -> dict:
    """Apply a folder and return the new generation."""
    files = reading.read(directory)
    host, port = addresses.split(store)
    applier = apply.Applier(
        store=store_http.HttpStore(host=host, port=port),
        clock=clocks.SystemClock(),
    )
    head = await applier.apply(files=files, author=author)
    return {"generation": head.generation, "digest": head.digest}
