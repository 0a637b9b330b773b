"""``turmerichook config diff``: compare a folder with the files in force."""

import pathlib

from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import config_pull
from turmerichook._internal.commands import context as contexts
from turmerichook._internal.configuration import difference


async def run(directory: pathlib.Path, context: contexts.Context) -> dict:
    """Compare the configuration in force with a folder."""
    files = config_check.load(directory)
    pulled = await config_pull.fetch(context, None)
    return {
        "generation": pulled.generation,
        "changed": difference.changed_names(pulled.files, files),
        "diff": difference.unified(pulled.files, files),
    }
