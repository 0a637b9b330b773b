"""``turmerichook config check``: validate a folder."""

import pathlib

from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import reading
from turmerichook._internal.configuration import schema


def load(directory: pathlib.Path) -> folder.Files:
    """Return the files of a valid folder.

    :raises ConfigurationError: naming every file that cannot be read and
        every invalid value.
    """
    scanned = reading.scan(directory)
    schema.parse(folder.merge(scanned.files, scanned.problems))
    bundle.pack_files(scanned.files)
    return scanned.files


def run(directory: pathlib.Path) -> dict:
    """Check a folder, and return its files and numbers of entries.

    :raises ConfigurationError: naming every problem.
    """
    files = load(directory)
    configuration = schema.parse(folder.merge(files))
    return {
        "site": configuration.site,
        "files": sorted(files),
        "zones": len(configuration.zones),
        "teams": len(configuration.teams),
        "services": len(configuration.services),
        "jobs": len(configuration.jobs),
    }
