"""``turmerichook services``: list, add, follow and stop services."""

import asyncio
import pathlib

import cyclopts

from turmerichook._internal.cli import options as shared
from turmerichook._internal.cli import output
from turmerichook._internal.commands import gateway_calls
from turmerichook._internal.commands import members
from turmerichook._internal.commands import services
from turmerichook import exceptions

app = cyclopts.App(name="services", help="Follow services.")

WAIT_DEFAULT_S = 120.0
HEADINGS = ["service", "endpoints", "replicas", "team", "urgency", "zones"]


@app.command(name="list")
def list_services(*, options: shared.Options = shared.DEFAULT) -> None:
    """List the services in force with their endpoints.

    Example: turmerichook services list
    """
    document = asyncio.run(services.list_all(options.context()))
    rows = [
        [
            service["service"],
            "-" if service["endpoints"] is None else service["endpoints"],
            service["replicas"],
            service["team"],
            service["urgency"],
            ",".join(service["zones"]) or "all",
        ]
        for service in document
    ]
    output.show(document, output.table(rows, HEADINGS), as_json=options.json)


@app.command(name="show")
def show(service: str, *, options: shared.Options = shared.DEFAULT) -> None:
    """Show a service.

    Example: turmerichook services show booking
    """
    document = asyncio.run(services.show(service, options.context()))
    output.show(
        document, output.key_value_lines(document), as_json=options.json
    )


@app.command(name="submit")
def submit(
    file: pathlib.Path,
    directory: pathlib.Path,
    *,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Add a service from a TOML or JSON file to a folder.

    The file holds the id and the keys of a service. Apply the folder to put
    it in force.

    Example: turmerichook services submit booking.toml ./site
    """
    table = gateway_calls.read_document(file)
    name = table.pop("id", None)
    if not isinstance(name, str):
        raise exceptions.JobInvalidError(
            message=f"{file} has no id",
            hint='add a line such as id = "booking"',
        )
    document = services.write_file(directory, name, table)
    _show_written(document, directory, options)


@app.command(name="wait")
def wait(
    service: str,
    *,
    timeout: float = WAIT_DEFAULT_S,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Wait until a service has an endpoint for each replica.

    Example: turmerichook services wait booking

    Parameters
    ----------
    timeout
        Seconds to wait.
    """
    report = members.ignore_progress if options.json else output.progress
    document = asyncio.run(
        services.wait(service, options.context(), timeout, report)
    )
    text = f"{service} has {document['endpoints']} endpoints"
    output.show(document, text, as_json=options.json)


@app.command(name="cancel")
def cancel(
    service: str,
    directory: pathlib.Path,
    *,
    options: shared.Options = shared.DEFAULT,
) -> None:
    """Set the replicas of a service to 0 in a folder.

    Example: turmerichook services cancel booking ./site
    """
    path = directory / f"90-service-{service}.toml"
    text = f"[services.{service}]\nreplicas = 0\n"
    document = services.write_checked(path, text)
    _show_written(document, directory, options)


def _show_written(
    document: dict, directory: pathlib.Path, options: shared.Options
) -> None:
    text = (
        f"{document['file']} is written; "
        f"run 'turmerichook config apply {directory}'"
    )
    output.show(document, text, as_json=options.json)
