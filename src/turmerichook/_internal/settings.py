"""Load and validate a daemon's settings file."""

import dataclasses
import pathlib
import tomllib
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.models import ids
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one process, read from its settings file.

    :param node: name of the process.
    :param zone: availability zone of the process.
    :param store: ``ip:port`` of the platform's store.
    :param hosts: ``ip:port`` of the platform's host list.
    :param listen: ``ip:port`` on which the process serves HTTP.
    :param peer_listen: ``ip:port`` on which the process accepts streams from
        other processes.
    :param peers: ``ip:port`` at which the other processes accept streams. If
        ``zone_peers`` is set, these are the processes in other zones, and
        the process connects to a few of them only.
    :param zone_peers: ``ip:port`` at which the processes in the own zone
        accept streams; the process connects to all of them.
    :param log_style: ``text`` or ``json``.
    :param log_level: lowest level that is logged.
    :param notice_s: seconds between the start of a planned stop, when the
        readiness check begins to fail, and the closing of the listener. The
        load balancer needs this time to notice the failing check.
    """

    node: ids.NodeId
    zone: ids.ZoneId
    store: str
    hosts: str
    listen: str
    peer_listen: str
    peers: tuple[str, ...] = ()
    zone_peers: tuple[str, ...] = ()
    log_style: str = "text"
    log_level: str = "INFO"
    notice_s: float = 5.0


LOG_STYLES = ("text", "json")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
REQUIRED_KEYS = ("node", "zone", "store", "hosts", "listen", "peer_listen")
PEER_KEYS = ("peers", "zone_peers")
NOTICE_MAX_S = 600.0
ADDRESS_KEYS = ("store", "hosts", "listen", "peer_listen")


def load(path: pathlib.Path) -> Settings:
    """Load and validate a settings file.

    :raises SettingsError: if the file cannot be read or is not valid; the
        message names the file or the key, and the expected value.
    """
    try:
        document = tomllib.loads(path.read_bytes().decode("utf-8"))
    except OSError as error:
        raise _error(f"cannot read {path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise _error(f"{path} is not TOML in UTF-8: {error}") from error
    return parse(document)


def parse(document: dict[str, typing.Any]) -> Settings:
    """Validate a parsed settings document and return its settings.

    :raises SettingsError: if a key is missing, unknown or not valid; the
        message names the key and the expected value.
    """
    known_keys = {field.name for field in dataclasses.fields(Settings)}
    for key in sorted(set(document) - known_keys):
        raise _error(
            f"unknown key {key!r}; known: {', '.join(sorted(known_keys))}"
        )
    for key in REQUIRED_KEYS:
        if key not in document:
            raise _error(f"key {key!r} is missing")
    for key, value in document.items():
        _check_type(key, value)
    for key in ADDRESS_KEYS:
        addresses.split(document[key])
    peers = {key: tuple(document.get(key, ())) for key in PEER_KEYS}
    for peer in peers["peers"] + peers["zone_peers"]:
        addresses.split(peer)
    _check_choice(document, "log_style", LOG_STYLES)
    _check_choice(document, "log_level", LOG_LEVELS)
    return Settings(**{**document, **peers})


def _check_type(key: str, value: typing.Any) -> None:
    if key in PEER_KEYS:
        if not isinstance(value, list) or not all(
            isinstance(peer, str) for peer in value
        ):
            raise _error(f"key {key!r} must be a list of ip:port strings")
    elif key == "notice_s":
        is_number = type(value) in (int, float)
        if not is_number or not 0 <= value <= NOTICE_MAX_S:
            raise _error(
                f"key 'notice_s' must be a number of seconds from 0 to"
                f" {NOTICE_MAX_S:g}"
            )
    elif not isinstance(value, str) or not value:
        raise _error(f"key {key!r} must be a string that is not empty")


def _check_choice(
    document: dict[str, typing.Any], key: str, choices: tuple[str, ...]
) -> None:
    if document.get(key, choices[0]) not in choices:
        raise _error(f"key {key!r} must be one of {', '.join(choices)}")


def _error(message: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(
        message=message,
        hint="see docs/operators/settings.md",
    )
