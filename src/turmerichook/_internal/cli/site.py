"""Commands ``turmerichook status``, ``explain``, ``drain`` and ``zone``."""

import asyncio
import pathlib
import typing

import cyclopts

from turmerichook._internal.cli import options as shared
from turmerichook._internal.cli import output
from turmerichook._internal.commands import config_apply
from turmerichook._internal.commands import drain as drain_command
from turmerichook._internal.commands import explain as explain_command
from turmerichook._internal.commands import members
from turmerichook._internal.commands import status as status_command
from turmerichook._internal.commands import zone as zone_command
from turmerichook._internal.models import site
from turmerichook import exceptions

zone_app = cyclopts.App(name="zone", help="Take zones out and in.")

Flag = typing.Annotated[bool, cyclopts.Parameter(negative=())]
APPLY_TIMEOUT_S = 30.0
DRAIN_TIMEOUT_S = 600.0
ZONE_HEADINGS = [
    "zone",
    "state",
    "owner",
    "epoch",
    "waiting",
    "1 h ago",
    "oldest s",
    "running",
    "hosts",
    "processes",
    "view s",
]
PROCESS_HEADINGS = ["process", "role", "zone", "generation", "heard s ago"]


def status(
    *, processes: Flag = False, options: shared.Options = shared.DEFAULT
) -> None:
    """Show zones, owners, queues, hosts and the ages of these views.

    Example: turmerichook status --processes

    Parameters
    ----------
    processes
        Also list each process with its configuration.
    """
    document = asyncio.run(status_command.run(options.context()))
    rows = [_zone_row(zone) for zone in document["zones"]]
    text = f"generation {document['generation']} is applied\n\n"
    text += output.table(rows, ZONE_HEADINGS)
    if processes:
        process_rows = [
            _process_row(process) for process in document["processes"]
        ]
        text += "\n\n" + output.table(process_rows, PROCESS_HEADINGS)
    output.show(document, text, as_json=options.json)


def explain(
    name: str,
    *,
    request: Flag = False,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Tell why a task waits, or why a request was refused.

    Example: turmerichook explain job/memorial-17/0

    Example: turmerichook explain 5f1c --request

    Parameters
    ----------
    name
        Name of a task, such as job/memorial-17/0 or service/booking/3.
    request
        The name is a request id.
    """
    query = explain_command.request if request else explain_command.task
    document = asyncio.run(query(name, options.context()))
    output.show(
        document, output.key_value_lines(document), as_json=options.json
    )


def drain(
    zone: str,
    directory: pathlib.Path,
    *,
    timeout: float = DRAIN_TIMEOUT_S,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Take a zone out and wait until nothing runs there.

    Example: turmerichook drain tarnow ./site

    Parameters
    ----------
    timeout
        Seconds to wait; the zone stays out in any case.
    """
    document = asyncio.run(
        drain_command.run(
            directory,
            zone,
            options.context(),
            timeout,
            _progress_reporter(options),
        )
    )
    output.show(document, f"zone {zone} is empty", as_json=options.json)


@zone_app.command(name="out")
def zone_out(
    zone: str,
    directory: pathlib.Path,
    *,
    apply: Flag = False,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Take a zone out: write a file in the folder.

    Example: turmerichook zone out tarnow ./site --apply

    Parameters
    ----------
    apply
        Apply the folder at once and wait until all processes have it.
    """
    _set_zone(directory, zone, site.ZoneState.OUT, apply, options)


@zone_app.command(name="in")
def zone_in(
    zone: str,
    directory: pathlib.Path,
    *,
    apply: Flag = False,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Bring a zone back: write a file in the folder.

    Example: turmerichook zone in tarnow ./site --apply

    Parameters
    ----------
    apply
        Apply the folder at once and wait until all processes have it.
    """
    _set_zone(directory, zone, site.ZoneState.IN, apply, options)


def _set_zone(
    directory: pathlib.Path,
    zone: str,
    state: site.ZoneState,
    apply: bool,
    options: shared.Options,
) -> None:
    document = zone_command.run(directory, zone, state)
    text = f"{document['file']} is written"
    if apply:
        apply_options = config_apply.Options(wait=APPLY_TIMEOUT_S)
        try:
            applied = asyncio.run(
                config_apply.run(
                    directory,
                    options.context(),
                    apply_options,
                    _progress_reporter(options),
                )
            )
        except exceptions.TurmerichookError as error:
            error.note = f"{document['file']} is written; {error.note}"
            raise
        document = {**document, **applied}
        text += f"; generation {applied['generation']} is in force"
    else:
        text += f"; run 'turmerichook config apply {directory}'"
    output.show(document, text, as_json=options.json)


def _zone_row(zone: dict) -> list:
    queue = zone["queue"] or {}
    history = queue.get("waiting_history", [])
    samples_per_hour = round(3600 / queue.get("history_interval_s", 600))
    waiting_hour_ago = (
        history[-samples_per_hour - 1]
        if len(history) > samples_per_hour
        else "-"
    )
    hosts = queue.get("hosts", {})
    return [
        zone["zone"],
        zone["state"],
        queue.get("owner", "none"),
        queue.get("epoch", "-"),
        queue.get("waiting", "-"),
        waiting_hour_ago,
        queue.get("oldest_s", "-"),
        queue.get("running", "-"),
        " ".join(f"{count} {state}" for state, count in sorted(hosts.items()))
        or "-",
        zone["processes"],
        "-" if zone["oldest_view_s"] is None else zone["oldest_view_s"],
    ]


def _process_row(process: dict) -> list:
    age = process["age_s"]
    return [
        process["node"],
        process["role"],
        process["zone"],
        process["generation"],
        "not heard" if age is None else age,
    ]


def _progress_reporter(options: shared.Options) -> members.Report:
    return members.ignore_progress if options.json else output.progress
