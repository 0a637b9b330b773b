"""A daemon's settings file."""

import dataclasses
import pathlib
import tomllib
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.models import ids
from turmerichook import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """What a process learns from its settings file.

    :param store: ``ip:port`` of the platform's store.
    :param hosts: ``ip:port`` of the platform's host list.
    :param listen: ``ip:port`` for HTTP.
    :param peer_listen: ``ip:port`` for streams from other processes.
    :param peers: ``ip:port`` of the other processes' streams; with
        ``zone_peers``, of those in other zones, of which a few are dialled.
    :param zone_peers: ``ip:port`` of the streams of all processes in the
        own zone, which are all dialled.
    :param log_style: ``text`` or ``json``.
    :param notice_s: seconds from a planned stop, when readiness ends, to the
        end of the listener; what the load balancer needs to notice.
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


STYLES = ("text", "json")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
REQUIRED = ("node", "zone", "store", "hosts", "listen", "peer_listen")
PEER_KEYS = ("peers", "zone_peers")
NOTICE_MAX_S = 600.0
ADDRESSES = ("store", "hosts", "listen", "peer_listen")


def load(path: pathlib.Path) -> Settings:
    """Return the settings of a file.

    :raises SettingsError: naming the key and what was expected.
    """
    try:
        document = tomllib.loads(path.read_bytes().decode("utf-8"))
    except OSError as error:
        raise _error(f"cannot read {path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise _error(f"{path} is not TOML in UTF-8: {error}") from error
    return parse(document)


def parse(document: dict[str, typing.Any]) -> Settings:
    """Return the settings of a parsed document.

    :raises SettingsError: naming the key and what was expected.
    """
    known = {field.name for field in dataclasses.fields(Settings)}
    for key in sorted(set(document) - known):
        raise _error(f"unknown key {key!r}; known: {', '.join(sorted(known))}")
    for key in REQUIRED:
        if key not in document:
            raise _error(f"key {key!r} is missing")
    for key, value in document.items():
        _check_type(key, value)
    for key in ADDRESSES:
        addresses.split(document[key])
    peers = {key: tuple(document.get(key, ())) for key in PEER_KEYS}
    for peer in peers["peers"] + peers["zone_peers"]:
        addresses.split(peer)
    _check_choice(document, "log_style", STYLES)
    _check_choice(document, "log_level", LEVELS)
    return Settings(**{**document, **peers})


def _check_type(key: str, value: typing.Any) -> None:
    if key in PEER_KEYS:
        if not isinstance(value, list) or not all(
            isinstance(peer, str) for peer in value
        ):
            raise _error(f"key {key!r} must be a list of ip:port texts")
    elif key == "notice_s":
        number = type(value) in (int, float)
        if not number or not 0 <= value <= NOTICE_MAX_S:
            raise _error(
                f"key 'notice_s' must be a number from 0 to {NOTICE_MAX_S:g}"
            )
    elif not isinstance(value, str) or not value:
        raise _error(f"key {key!r} must be a text that is not empty")


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
