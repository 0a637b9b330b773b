"""``turmerichook config check``."""

import pathlib

from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import reading
from turmerichook._internal.configuration import schema


def load(directory: pathlib.Path) -> folder.Files:
    """Return the files of a valid folder.

    :raises ConfigurationError: naming every problem, of reading and of
        content.
    """
    found = reading.scan(directory)
    schema.parse(folder.merge(found.files, found.problems))
    bundle.pack_files(found.files)
    return found.files


def run(directory: pathlib.Path) -> dict:
    """Check a folder and return what it holds.

    :raises ConfigurationError: naming every problem.
    """
    files = load(directory)
    found = schema.parse(folder.merge(files))
    return {
        "site": found.site,
        "files": sorted(files),
        "zones": len(found.zones),
        "teams": len(found.teams),
        "services": len(found.services),
        "jobs": len(found.jobs),
    }
