"""Reads the settings file that the platform lays beside each process."""

import datetime
import math
import pathlib
import tomllib
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook import exceptions

# Name of the environment variable with the file's path.
PATH_VARIABLE = "TURMERICHOOK_NODE_FILE"


def load(path: pathlib.Path) -> deployment.EntrySettings:
    """Return the settings of a file.

    :raises SettingsError: naming the key and what was expected.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            message=f"cannot read the settings: {error}", context=str(path)
        ) from error
    return parse(document)


def parse(document: dict[str, typing.Any]) -> deployment.EntrySettings:
    """Return the settings of a parsed file; unknown keys are ignored.

    :raises SettingsError: naming the key and what was expected.
    """
    return deployment.EntrySettings(
        node=ids.NodeId(_text(document, "node-name")),
        zone=ids.ZoneId(_text(document, "zone")),
        zones=tuple(ids.ZoneId(z) for z in _value(document, "zones", dict)),
        store=_address(document, "platform.address"),
        # The platform's "cloud API" lists and moves hosts.
        host_service=_optional_address(document, "cloud-api.address"),
        advisor=_optional_address(document, "advisor"),
        listen=_address(document, "bind-addresses.http"),
        health_listen=_address(document, "bind-addresses.readiness"),
        admin_listen=_optional_address(document, "bind-addresses.admin"),
        processors=_processors(document),
        lease_ttl_min=_milliseconds(document, "platform.ttl-min-ms"),
        timing=deployment.Timing(
            # "hold" is the platform's word for the lease of running tasks.
            lease_max=_milliseconds(document, "policy-params.hold-max-ms"),
            stop_timeout=_milliseconds(
                document, "policy-params.stop-timeout-ms"
            ),
            gang_timeout=_milliseconds(
                document, "policy-params.gang-timeout-ms"
            ),
            grace=_seconds(document, "policy-params.grace-s"),
            drain_timeout=_milliseconds(
                document, "policy-params.drain-timeout-ms"
            ),
            contact=_milliseconds(document, "policy-params.contact-ms"),
            state_retention=_seconds(document, "policy-params.status_s"),
        ),
    )


def _find(document: dict[str, typing.Any], key: str) -> typing.Any:
    found: typing.Any = document
    for part in key.split("."):
        if not isinstance(found, dict) or part not in found:
            return None
        found = found[part]
    return found


def _value(
    document: dict[str, typing.Any], key: str, kind: type
) -> typing.Any:
    found = _find(document, key)
    if not isinstance(found, kind) or isinstance(found, bool):
        raise exceptions.SettingsError(
            message=f"key {key!r} must be a {kind.__name__}, not {found!r}",
        )
    return found


def _text(document: dict[str, typing.Any], key: str) -> str:
    return _value(document, key, str)


def _address(document: dict[str, typing.Any], key: str) -> str:
    address = _text(document, key)
    addresses.split(address)
    return address


def _optional_address(document: dict[str, typing.Any], key: str) -> str:
    return _address(document, key) if _find(document, key) else ""


def _number(document: dict[str, typing.Any], key: str) -> float:
    found = _find(document, key)
    if type(found) not in (int, float) or found < 0:
        raise exceptions.SettingsError(
            message=f"key {key!r} must be a number from 0, not {found!r}",
        )
    return found


def _processors(document: dict[str, typing.Any]) -> float:
    # The quota is the share of each of the host's cores.
    keys = ("limits.cpu-quota", "limits.cpu-cores")
    if any(_find(document, key) is None for key in keys):
        return 1.0
    return math.prod(_number(document, key) for key in keys)


def _milliseconds(
    document: dict[str, typing.Any], key: str
) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_number(document, key))


def _seconds(document: dict[str, typing.Any], key: str) -> datetime.timedelta:
    return datetime.timedelta(seconds=_number(document, key))
