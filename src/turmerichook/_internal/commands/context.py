"""Store and gateway addresses and author name of the operators' commands.

An option takes precedence over the environment, and the environment over the
operator's file. A value that none of them sets has a default.
Addresses are not discovered.
"""

import dataclasses
import getpass
import os
import pathlib
import tomllib
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.http import addresses
from turmerichook._internal.providers import store_http
from turmerichook import exceptions

FILE_VARIABLE = "TURMERICHOOK_OPERATOR_FILE"
DEFAULT_FILE = pathlib.Path(".config/turmerichook/operator.toml")
DEFAULT_VALUES = {"store": "127.0.0.1:7000", "gateway": "127.0.0.1:8080"}
ENVIRONMENT_VARIABLES = {
    "store": "TURMERICHOOK_STORE",
    "gateway": "TURMERICHOOK_GATEWAY",
    "author": "TURMERICHOOK_AUTHOR",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Addresses and author name that a command uses.

    :param store: ``ip:port`` of the platform's store.
    :param gateway: ``ip:port`` of a gateway or of the load balancer.
    :param author: name that is recorded with changes.
    """

    store: str
    gateway: str
    author: str

    def open_store(self) -> store_http.HttpStore:
        """Return a client of the store."""
        host, port = addresses.split(self.store)
        return store_http.HttpStore(host=host, port=port)

    def applier(self) -> apply.Applier:
        """Return a reader and writer of the configuration."""
        return apply.Applier(
            store=self.open_store(), clock=clocks.SystemClock()
        )


def load(
    *,
    store: str | None = None,
    gateway: str | None = None,
    author: str | None = None,
    environment: typing.Mapping[str, str] | None = None,
) -> Context:
    """Return the context from options, environment and file.

    :raises SettingsError: naming what is wrong in the file or an address.
    """
    environment = os.environ if environment is None else environment
    document = _read_file(environment)
    options = {"store": store, "gateway": gateway, "author": author}
    values = {}
    for key, option in options.items():
        value = option or environment.get(ENVIRONMENT_VARIABLES[key])
        value = value or document.get(key) or DEFAULT_VALUES.get(key)
        values[key] = value or _user()
    for key in DEFAULT_VALUES:
        addresses.split(values[key])
    return Context(**values)


def _read_file(environment: typing.Mapping[str, str]) -> dict[str, str]:
    configured_path = environment.get(FILE_VARIABLE)
    path = (
        pathlib.Path(configured_path)
        if configured_path
        else _home(environment) / DEFAULT_FILE
    )
    try:
        document = tomllib.loads(path.read_bytes().decode("utf-8"))
    except FileNotFoundError:
        if configured_path:
            raise _settings_error(f"{path} does not exist") from None
        return {}
    except OSError as error:
        raise _settings_error(
            f"cannot read {path}: {error.strerror}"
        ) from error
    except ValueError as error:
        raise _settings_error(
            f"{path} is not TOML in UTF-8: {error}"
        ) from error
    for key, value in document.items():
        if key not in ENVIRONMENT_VARIABLES:
            allowed = ", ".join(sorted(ENVIRONMENT_VARIABLES))
            raise _settings_error(
                f"{path}: unknown key {key!r}; known keys: {allowed}"
            )
        if not isinstance(value, str):
            raise _settings_error(f"{path}: key {key!r} must be a string")
    return document


def _home(environment: typing.Mapping[str, str]) -> pathlib.Path:
    return pathlib.Path(environment.get("HOME", "/nonexistent"))


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _settings_error(message: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        message=message,
        hint="see docs/operators/commands.md",
    )
