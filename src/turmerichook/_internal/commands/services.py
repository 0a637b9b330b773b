"""``turmerichook services``: list, follow and write services."""

import asyncio
import collections.abc
import json
import pathlib
import time
import typing

from turmerichook._internal.commands import config_check
from turmerichook._internal.commands import config_pull
from turmerichook._internal.commands import context as contexts
from turmerichook._internal.commands import gateway_calls
from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import schema
from turmerichook._internal.models import site
from turmerichook import exceptions

POLL_S = 1.0


async def list_all(context: contexts.Context) -> list[dict]:
    """Return the services in force with the number of their endpoints."""
    configuration = await _configuration(context)
    status = await _gateway_status(context)
    return [
        _describe(service, status)
        for _, service in sorted(configuration.services.items())
    ]


async def show(name: str, context: contexts.Context) -> dict:
    """Return one service.

    :raises ServiceNotFoundError: if no service in force has the name.
    """
    for service in await list_all(context):
        if service["service"] == name:
            return service
    raise exceptions.ServiceNotFoundError(
        message=f"no service is named {name}",
        hint="see 'turmerichook services list'",
    )


async def wait(
    name: str,
    context: contexts.Context,
    timeout_s: float,
    report: collections.abc.Callable[[str], None],
) -> dict:
    """Wait until a service has as many endpoints as replicas.

    :raises ServicePendingError: if it has fewer after ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    last_report = ""
    while True:
        service = await show(name, context)
        count = service["endpoints"]
        text = f"{count} of {service['replicas']} endpoints"
        if count is not None and count >= service["replicas"]:
            return service
        if time.monotonic() >= deadline:
            raise exceptions.ServicePendingError(
                message=f"{name} has {text} after {timeout_s:g} s",
                hint=f"see 'turmerichook explain service/{name}/0'",
            )
        if text != last_report:
            report(text)
            last_report = text
        await asyncio.sleep(POLL_S)


def write_file(
    directory: pathlib.Path, name: str, table: dict[str, typing.Any]
) -> dict:
    """Add a file for one service to a folder; the folder must stay valid.

    :raises ConfigurationError: naming every problem; the folder is then left
        unchanged.
    """
    path = directory / f"50-service-{name}.toml"
    lines = [f"[services.{name}]"]
    lines += [f"{key} = {_toml_value(value)}" for key, value in table.items()]
    return write_checked(path, "\n".join(lines) + "\n")


def write_checked(path: pathlib.Path, text: str) -> dict:
    """Write a file, and undo the write if its folder becomes invalid.

    :raises ConfigurationError: if the folder is invalid before or after the
        write; an invalid file is removed or gets its earlier content back.
    """
    config_check.load(path.parent)
    previous_content = path.read_bytes() if path.exists() else None
    try:
        path.write_text(text, "utf-8")
    except OSError as error:
        raise exceptions.FolderUnwritableError(
            message=f"cannot write {path}: {error.strerror}",
            hint="check the path and its permissions",
        ) from error
    try:
        config_check.load(path.parent)
    except exceptions.ConfigurationError:
        if previous_content is None:
            path.unlink()
        else:
            path.write_bytes(previous_content)
        raise
    return {"file": str(path)}


async def _configuration(context: contexts.Context) -> site.Configuration:
    pulled = await config_pull.fetch(context, None)
    if not pulled.files:
        return site.EMPTY
    return schema.parse(folder.merge(pulled.files))


async def _gateway_status(context: contexts.Context) -> dict:
    try:
        return await gateway_calls.call(context.gateway, "GET", "/v1/status")
    except exceptions.TurmerichookError:
        # Without a gateway the services are still shown, with unknown
        # numbers of endpoints.
        return {}


def _describe(service: site.Service, status: dict) -> dict:
    endpoints = None
    if "endpoints" in status:
        endpoints = status["endpoints"].get(service.service, 0)
    return {
        "service": service.service,
        "team": service.team,
        "replicas": service.replicas,
        "endpoints": endpoints,
        "zones": list(service.zones),
        "urgency": service.urgency.value,
        **service.resources.to_map(),
    }


def _toml_value(value: typing.Any) -> str:
    match value:
        case list():
            return "[" + ", ".join(_toml_value(item) for item in value) + "]"
        case bool():
            return "true" if value else "false"
        case str():
            # A JSON string is also a valid basic string in TOML.
            return json.dumps(value)
        case _:
            return str(value)
