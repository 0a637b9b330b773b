"""``turmerichook config``: check, apply and inspect configuration folders."""

import asyncio
import pathlib
import sys
import typing

import cyclopts

from turmerichook._internal.cli import options as shared
from turmerichook._internal.cli import output
from turmerichook._internal.commands import config_apply
from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import config_diff
from turmerichook._internal.commands import config_history
from turmerichook._internal.commands import config_pull
from turmerichook._internal.commands import config_show
from turmerichook._internal.commands import members
from turmerichook._internal.models import ids

app = cyclopts.App(name="config", help="Check and apply configuration.")

Flag = typing.Annotated[bool, cyclopts.Parameter(negative=())]
WAIT_DEFAULT_S = 30.0


@app.command(name="check")
def check(
    directory: pathlib.Path, *, options: shared.Options = shared.DEFAULT
) -> None:
    """Check a folder and name every mistake in it.

    Example: turmerichook config check ./site
    """
    document = config_check.run(directory)
    text = (
        f"{len(document['files'])} files are valid: {document['zones']} zones,"
        f" {document['teams']} teams, {document['services']} services,"
        f" {document['jobs']} jobs"
    )
    output.show(document, text, as_json=options.json)


@app.command(name="diff")
def diff(
    directory: pathlib.Path, *, options: shared.Options = shared.DEFAULT
) -> None:
    """Show what applying a folder would change.

    Example: turmerichook config diff ./site
    """
    document = asyncio.run(config_diff.run(directory, options.context()))
    output.show(document, _diff_text(document), as_json=options.json)


@app.command(name="apply")
def apply(
    directory: pathlib.Path,
    *,
    dry_run: Flag = False,
    wait: Flag = False,
    timeout: float = WAIT_DEFAULT_S,
    based_on: int | None = None,
    operation: str | None = None,
    force: Flag = False,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Make a folder the configuration in force.

    Example: turmerichook config apply ./site --wait

    Example: turmerichook config apply ./site --dry-run

    Parameters
    ----------
    dry_run
        Show the change and apply nothing.
    wait
        Wait until all live processes have the generation.
    timeout
        Seconds to wait; processes that are late are then named.
    based_on
        Generation that the folder stems from, by default the one that it
        was pulled or applied as. A conflict results if it is not in force.
    operation
        Id of an earlier run whose outcome is unknown; it takes effect once.
    force
        Apply whatever is in force, also if nothing changes.
    """
    apply_options = config_apply.Options(
        operation=operation,
        based_on=based_on,
        force=force,
        dry_run=dry_run,
        wait=timeout if wait else None,
    )
    report = members.ignore_progress if options.json else output.progress
    document = asyncio.run(
        config_apply.run(directory, options.context(), apply_options, report)
    )
    output.show(document, _apply_text(document), as_json=options.json)


@app.command(name="pull")
def pull(
    directory: pathlib.Path,
    *,
    generation: int | None = None,
    force: Flag = False,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Write the files in force into a folder, byte for byte.

    Example: turmerichook config pull ./site

    Example: turmerichook config pull ./before --generation 41

    Parameters
    ----------
    generation
        An earlier generation of the last 50.
    force
        Replace files of the folder that were never applied.
    """
    number = None if generation is None else ids.Generation(generation)
    document = asyncio.run(
        config_pull.run(directory, options.context(), number, force)
    )
    text = (
        f"generation {document['generation']}: {len(document['files'])} files"
        f" in {document['folder']}"
    )
    output.show(document, text, as_json=options.json)


@app.command(name="show")
def show(*, options: shared.Options = shared.DEFAULT) -> None:
    """Show which generation is in force.

    Example: turmerichook config show --json
    """
    document = asyncio.run(config_show.run(options.context()))
    output.show(
        document, output.key_value_lines(document), as_json=options.json
    )


@app.command(name="history")
def history(*, options: shared.Options = shared.DEFAULT) -> None:
    """Show the last 50 generations, the newest first.

    Example: turmerichook config history
    """
    document = asyncio.run(config_history.run(options.context()))
    rows = [
        [
            head["generation"],
            head["applied"][:19],
            head["author"],
            head["digest"][:12],
        ]
        for head in document
    ]
    headings = ["generation", "applied (UTC)", "author", "digest"]
    output.show(document, output.table(rows, headings), as_json=options.json)


def _diff_text(document: dict) -> str:
    if not document["changed"]:
        return f"no difference to generation {document['generation']}"
    return output.diff(document["diff"], sys.stdout)


def _apply_text(document: dict) -> str:
    if "diff" in document:
        return _diff_text(document)
    text = f"generation {document['generation']} is applied"
    if not document["applied"]:
        text = f"generation {document['generation']} holds the same files"
    if "overtaken_by" in document:
        text += f"; generation {document['overtaken_by']} has replaced it"
    if "processes" in document:
        process_summary = document["processes"]
        text += f"; in force in {process_summary['all']} processes"
    return text
