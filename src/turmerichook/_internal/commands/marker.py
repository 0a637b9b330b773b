"""Records which generation an operator's folder was pulled or applied as.

``config pull`` and ``config apply`` write the generation into a hidden file
in the folder. ``config apply`` compares it with the generation in force, so
that an operator does not undo a change that the folder does not contain.
"""

import pathlib

from turmerichook._internal.models import ids
from turmerichook import exceptions

FILE_NAME = ".turmerichook-generation"


def read(directory: pathlib.Path) -> ids.Generation | None:
    """Return the folder's generation, None if it has none.

    :raises SettingsError: if the file cannot be read or is not a number.
    """
    path = directory / FILE_NAME
    try:
        return ids.Generation(int(path.read_text("ascii")))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            message=f"{path} does not hold a generation",
            hint="remove the file, or give --based-on",
        ) from error


def write(directory: pathlib.Path, generation: ids.Generation) -> bool:
    """Record the folder's generation; return False if that fails."""
    try:
        (directory / FILE_NAME).write_text(f"{generation}\n", "ascii")
    except OSError:
        # The folder may be read-only. Without a recorded generation,
        # ``config apply`` does not compare the folder with the one in force.
        return False
    return True
