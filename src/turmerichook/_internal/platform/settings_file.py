"""Reads the settings file that the platform provides for each process."""

import datetime
import math
import pathlib
import tomllib
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook import exceptions

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "TURMERICHOOK_NODE_FILE"

# Largest number in the settings, about 30 years in seconds.
NUMBER_MAX = 10**9


def load(path: pathlib.Path) -> deployment.EntrySettings:
    """Return the settings in a file.

    :raises SettingsError: if the file cannot be read, or a key is missing or
        invalid; names the key and the expected value.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.SettingsError(
            message=f"cannot read the settings file: {error}",
            context=str(path),
        ) from error
    return parse(document)


def parse(document: dict[str, typing.Any]) -> deployment.EntrySettings:
    """Return the settings in a parsed file; unknown keys are ignored.

    :raises SettingsError: if a key is missing or invalid; names the key and
        the expected value.
    """
    return deployment.EntrySettings(
        node=ids.NodeId(_string(document, "node-name")),
        zone=ids.ZoneId(_string(document, "zone")),
        zones=tuple(
            ids.ZoneId(zone)
            for zone in _checked_value(document, "zones", dict)
        ),
        store=_address(document, "platform.address"),
        # The platform's "cloud API" lists and moves hosts.
        host_service=_optional_address(document, "cloud-api.address"),
        advisor=_optional_address(document, "advisor"),
        listen=_address(document, "bind-addresses.http"),
        health_listen=_address(document, "bind-addresses.readiness"),
        admin_listen=_optional_address(document, "bind-addresses.admin"),
        processors=_processors(document),
        lease_ttl_min=_milliseconds(document, "platform.ttl-min-ms"),
        revocation_timeout=_revocation_timeout(document),
        timing=deployment.Timing(
            # The platform calls the lease of a worker's running tasks a
            # "hold".
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


def _look_up(document: dict[str, typing.Any], key: str) -> typing.Any:
    value: typing.Any = document
    for part in key.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def _checked_value(
    document: dict[str, typing.Any], key: str, expected_type: type
) -> typing.Any:
    value = _look_up(document, key)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise exceptions.SettingsError(
            message=f"key {key!r} must be a {expected_type.__name__},"
            f" not {value!r}",
        )
    return value


def _string(document: dict[str, typing.Any], key: str) -> str:
    return _checked_value(document, key, str)


def _address(document: dict[str, typing.Any], key: str) -> str:
    address = _string(document, key)
    addresses.split(address)
    return address


def _optional_address(document: dict[str, typing.Any], key: str) -> str:
    return _address(document, key) if _look_up(document, key) else ""


def _number(document: dict[str, typing.Any], key: str) -> float:
    value = _look_up(document, key)
    # The comparison is also false for a number that is not finite.
    valid = type(value) in (int, float) and 0 <= value <= NUMBER_MAX
    if not valid:
        raise exceptions.SettingsError(
            message=f"key {key!r} must be a number from 0 to {NUMBER_MAX},"
            f" not {value!r}",
        )
    return value


def _processors(document: dict[str, typing.Any]) -> float:
    # The quota is the share of each core that the process may use, so the
    # product with the number of cores is the processor time per second.
    keys = ("limits.cpu-quota", "limits.cpu-cores")
    if any(_look_up(document, key) is None for key in keys):
        return 1.0
    return math.prod(_number(document, key) for key in keys)


def _revocation_timeout(
    document: dict[str, typing.Any],
) -> datetime.timedelta | None:
    key = "policy-params.strict-revoke"
    strict = _look_up(document, key)
    if strict is None or strict is False:
        return None
    if strict is not True:
        raise exceptions.SettingsError(
            message=f"key {key!r} must be true or false, not {strict!r}",
        )
    return _milliseconds(document, "policy-params.revoke-timeout-ms")


def _milliseconds(
    document: dict[str, typing.Any], key: str
) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_number(document, key))


def _seconds(document: dict[str, typing.Any], key: str) -> datetime.timedelta:
    return datetime.timedelta(seconds=_number(document, key))
