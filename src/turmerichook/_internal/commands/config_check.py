"""``turmerichook config check``."""

import pathlib

from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import reading
from turmerichook._internal.models import ids


def run(directory: pathlib.Path) -> dict:
    """Check a folder and return what it holds.

    :raises ConfigurationError: naming every problem.
    """
    packed = bundle.pack_files(reading.read(directory))
    accepted = bundle.accept(ids.Generation(0), packed)
    found = accepted.configuration
    return {
        "site": found.site,
        "files": sorted(accepted.files),
        "zones": len(found.zones),
        "teams": len(found.teams),
        "services": len(found.services),
        "jobs": len(found.jobs),
    }
