"""``turmerichook config pull``: write a generation's files to a folder."""

import dataclasses
import pathlib

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import marker
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import reading
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class GenerationFiles:
    """Files of one generation; generation 0 has none."""

    generation: ids.Generation
    files: folder.Files


async def fetch(
    context: contexts.Context, generation: ids.Generation | None
) -> GenerationFiles:
    """Return the files of a generation, by default the one in force.

    :raises ConfigurationNotFoundError: if the store does not keep the
        generation.
    """
    applier = context.applier()
    if generation is None:
        current = await applier.current()
        if isinstance(current, outcomes.Absent):
            return GenerationFiles(generation=ids.Generation(0), files={})
        head: bundle.Head | None = current[0]
    else:
        heads = await applier.history()
        matching = [h for h in heads if h.generation == generation]
        head = matching[0] if matching else None
    packed = await applier.fetch(head) if head else None
    if head is None or not isinstance(packed, bytes):
        raise exceptions.ConfigurationNotFoundError(
            message=f"generation {generation} is not kept in the store",
            hint="see 'turmerichook config history'",
        )
    return GenerationFiles(
        generation=head.generation, files=bundle.unpack_files(packed)
    )


async def run(
    directory: pathlib.Path,
    context: contexts.Context,
    generation: ids.Generation | None = None,
    force: bool = False,
) -> dict:
    """Write the files of a generation into a folder, byte for byte.

    Existing files are replaced only if they equal those of the generation
    that the folder was last pulled or applied as, or those that are being
    pulled. Otherwise edits that were never applied would be lost.

    :param force: replace existing files in any case.
    :raises FolderUnwritableError: if the folder holds other files, or if it
        cannot be written.
    """
    pulled = await fetch(context, generation)
    if not pulled.files:
        raise exceptions.ConfigurationNotFoundError(
            message="no configuration has been applied yet",
        )
    existing = _read_existing(directory)
    if not force and not await _may_replace(directory, context, pulled):
        raise exceptions.FolderUnwritableError(
            message=f"{directory} holds files that were not applied",
            note="nothing was written",
            hint="pull into a new folder, or use --force",
        )
    try:
        _replace_files(directory, pulled, existing)
    except OSError as error:
        raise exceptions.FolderUnwritableError(
            message=f"cannot write {directory}: {error.strerror}",
            note="the folder may hold a part of the files",
            hint="check the path, its permissions and the free space",
        ) from error
    return {
        "generation": pulled.generation,
        "folder": str(directory),
        "files": sorted(pulled.files),
    }


def _read_existing(directory: pathlib.Path) -> folder.Files:
    if not directory.exists():
        return {}
    try:
        return reading.read(directory)
    except exceptions.ConfigurationError as error:
        if error.problems[0].code == "folder-empty":
            return {}
        raise


async def _may_replace(
    directory: pathlib.Path, context: contexts.Context, pulled: GenerationFiles
) -> bool:
    existing = _read_existing(directory)
    if not existing or existing == pulled.files:
        return True
    base_generation = marker.read(directory)
    if base_generation is None:
        return False
    try:
        return existing == (await fetch(context, base_generation)).files
    except exceptions.ConfigurationNotFoundError:
        return False


def _replace_files(
    directory: pathlib.Path, pulled: GenerationFiles, existing: folder.Files
) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for name, content in pulled.files.items():
        temporary = directory / f".{name}.pulled"
        temporary.write_bytes(content)
        temporary.replace(directory / name)
    for name in set(existing) - set(pulled.files):
        (directory / name).unlink()
    marker.write(directory, pulled.generation)
