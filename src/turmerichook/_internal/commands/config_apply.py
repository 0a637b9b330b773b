"""``turmerichook config apply``: put a folder's configuration in force."""

import dataclasses
import pathlib
import uuid

from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import config_diff
from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import marker
from turmerichook._internal.commands import members
from turmerichook._internal.configuration import apply
from turmerichook._internal.models import ids
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Options of ``config apply``.

    :param operation: id of an earlier run that this one repeats.
    :param based_on: generation that the folder stems from; by default the
        one that the folder's hidden file names.
    :param force: apply the folder whatever generation is in force, also if
        its files are unchanged.
    :param dry_run: return the difference and apply nothing.
    :param wait: seconds to wait until all live processes have the new
        generation; None returns without waiting.
    """

    operation: str | None = None
    based_on: int | None = None
    force: bool = False
    dry_run: bool = False
    wait: float | None = None


async def run(
    directory: pathlib.Path,
    context: contexts.Context,
    options: Options,
    report: members.Report = members.ignore_progress,
) -> dict:
    """Apply a folder and return the new generation.

    :raises ConfigurationPendingError: with ``wait``, if some processes do
        not have the generation in time.
    """
    if options.dry_run:
        preview = await config_diff.run(directory, context)
        return {**preview, "applied": False}
    files = config_check.load(directory)
    base_generation = options.based_on
    if base_generation is None:
        base_generation = marker.read(directory)
    operation = _operation(options)
    try:
        change = apply.Change(
            files=files,
            author=context.author,
            operation=operation,
            based_on=None
            if base_generation is None
            else ids.Generation(base_generation),
            at_least=await members.highest_generation(context),
            force=options.force,
        )
        applied = await context.applier().apply(change)
    except exceptions.StoreUnavailableError as error:
        error.note = error.note or apply.NOT_APPLIED
        raise
    marker.write(directory, applied.head.generation)
    result = {
        "generation": applied.head.generation,
        "digest": applied.head.digest,
        "operation": applied.head.operation,
        "applied": applied.changed,
    }
    if applied.overtaken is not None:
        result["overtaken_by"] = applied.overtaken.generation
    if options.wait is not None:
        target = applied.overtaken or applied.head
        result["processes"] = await members.wait(
            context, target, options.wait, report
        )
    return result


def _operation(options: Options) -> ids.OperationId:
    if options.operation is None:
        return ids.OperationId(uuid.uuid4().hex)
    try:
        return ids.OperationId(uuid.UUID(hex=options.operation).hex)
    except ValueError as error:
        raise exceptions.SettingsError(
            message="--operation is not an operation id",
            hint="copy it from the message of the earlier run",
        ) from error
