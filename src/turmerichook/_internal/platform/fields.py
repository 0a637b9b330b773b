"""Checked access to the fields of decoded JSON documents."""

import datetime
import json
import typing

from turmerichook._internal import clock as clocks
from turmerichook import exceptions


def parse(body: bytes) -> dict[str, typing.Any]:
    """Return a JSON object.

    :raises MessageError: if the body is something else.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.MessageError(
            message=f"not JSON: {str(error)[:100]}"
        ) from error
    if not isinstance(document, dict):
        raise exceptions.MessageError(message="not a JSON object")
    return document


def text(
    document: dict[str, typing.Any], key: str, default: str | None = None
) -> str:
    """Return a text.

    :raises MessageError: if it is missing without a default, or no text.
    """
    return _typed(document, key, str, default)


def integer(
    document: dict[str, typing.Any], key: str, default: int | None = None
) -> int:
    """Return a whole number that is not negative.

    :raises MessageError: if it is missing without a default, or another.
    """
    found = _typed(document, key, int, default)
    if found < 0:
        raise _invalid(key, found, "a number from 0")
    return found


def number(
    document: dict[str, typing.Any], key: str, default: float | None = None
) -> float:
    """Return a number.

    :raises MessageError: if it is missing without a default, or no number.
    """
    found = document.get(key, default)
    if type(found) not in (int, float):
        raise _invalid(key, found, "a number")
    return found


def boolean(document: dict[str, typing.Any], key: str) -> bool:
    """Return a truth value; a missing one is false.

    :raises MessageError: if it is something else.
    """
    found = document.get(key, False)
    if type(found) is not bool:
        raise _invalid(key, found, "true or false")
    return found


def listing(
    document: dict[str, typing.Any], key: str, default: list | None = None
) -> list[typing.Any]:
    """Return a list.

    :raises MessageError: if it is missing without a default, or no list.
    """
    return _typed(document, key, list, default)


def table(document: dict[str, typing.Any], key: str) -> dict[str, typing.Any]:
    """Return an object.

    :raises MessageError: if it is missing or no object.
    """
    return _typed(document, key, dict, None)


def whole_milliseconds(span: datetime.timedelta) -> int:
    """Return a span as the platform writes it, cut off to milliseconds."""
    return span // clocks.MILLISECOND


def milliseconds(
    document: dict[str, typing.Any], key: str, default: int | None = None
) -> datetime.timedelta:
    """Return a span of time.

    :raises MessageError: if it is no whole number from 0.
    """
    return datetime.timedelta(milliseconds=integer(document, key, default))


def _typed(
    document: dict[str, typing.Any],
    key: str,
    kind: type,
    default: typing.Any,
) -> typing.Any:
    found = document.get(key, default)
    if not isinstance(found, kind) or isinstance(found, bool):
        raise _invalid(key, found, f"a {kind.__name__}")
    return found


def _invalid(
    key: str, found: typing.Any, expected: str
) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"field {key!r} must be {expected}, not {str(found)[:50]!r}",
        context=key,
    )
