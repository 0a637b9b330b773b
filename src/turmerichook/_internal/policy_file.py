"""Load and validate the policy file of the entry processes."""

import pathlib
import tomllib
import typing

from turmerichook._internal.models import policy
from turmerichook import exceptions

# Environment variable that holds the path of the file.
PATH_VARIABLE = "TURMERICHOOK_POLICY_FILE"
HINT = "see docs/operators/policy.md"


def load(path: pathlib.Path) -> policy.Policy:
    """Return the policy in a file.

    :raises SettingsError: if the file cannot be read, or a key is unknown or
        has a wrong value; names the key and the expected value.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.SettingsError(
            message=f"cannot read the policy file: {error}",
            context=str(path),
            hint=HINT,
        ) from error
    return parse(document)


def parse(document: dict[str, typing.Any]) -> policy.Policy:
    """Return the policy in a parsed file.

    :raises SettingsError: if a key is unknown or has a wrong value.
    """
    _check_keys(document, ("overload",), "")
    overload = document.get("overload", {})
    if not isinstance(overload, dict):
        raise _error("key 'overload' must be a table")
    _check_keys(overload, ("order",), "overload.")
    order = overload.get("order", policy.DEFAULT.overload_order.value)
    try:
        return policy.Policy(overload_order=policy.OverloadOrder(order))
    except ValueError as error:
        values = ", ".join(repr(o.value) for o in policy.OverloadOrder)
        raise _error(
            f"key 'overload.order' must be one of {values},"
            f" not {str(order)[:50]!r}"
        ) from error


def _check_keys(
    table: dict[str, typing.Any], known: tuple[str, ...], prefix: str
) -> None:
    for key in table:
        if key not in known:
            raise _error(f"unknown key {prefix + key!r}")


def _error(message: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(message=message, hint=HINT)
