"""Checked access to the fields of decoded JSON documents."""

import datetime
import json
import typing

from turmerichook._internal import clock as clocks
from turmerichook import exceptions


# Largest whole number that every JSON implementation reads exactly.
INTEGER_MAX = 2**53
# Longest duration, and latest Unix time, in milliseconds. Sums and multiples
# of longer ones exceed what ``datetime.timedelta`` can hold.
MILLISECONDS_MAX = 10**13


def parse(body: bytes) -> dict[str, typing.Any]:
    """Decode a JSON object from a message body or a stored value.

    :raises MessageError: if the bytes are not a JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.MessageError(
            message=f"invalid JSON: {str(error)[:100]}"
        ) from error
    if not isinstance(document, dict):
        raise exceptions.MessageError(
            message="a JSON document must be an object"
        )
    return document


def string(
    document: dict[str, typing.Any], key: str, default: str | None = None
) -> str:
    """Return the value of a string field.

    :raises MessageError: if the field is missing and has no default, or is
        not a string that can be encoded.
    """
    value = _checked_value(document, key, str, default)
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise _invalid_field(key, ascii(value), "valid text") from error
    return value


def integer(
    document: dict[str, typing.Any],
    key: str,
    default: int | None = None,
    maximum: int = INTEGER_MAX,
) -> int:
    """Return the value of a field that holds a whole number of at least 0.

    :param maximum: largest number that is accepted.
    :raises MessageError: if the field is missing and has no default, or is
        not such a number.
    """
    value = _checked_value(document, key, int, default)
    if not 0 <= value <= maximum:
        raise _invalid_field(key, value, f"a number from 0 to {maximum}")
    return value


def number(
    document: dict[str, typing.Any],
    key: str,
    default: float | None = None,
    maximum: float = INTEGER_MAX,
) -> float:
    """Return the value of a field that holds a number of at least 0.

    :param maximum: largest number that is accepted.
    :raises MessageError: if the field is missing and has no default, or is
        not such a number.
    """
    value = document.get(key, default)
    # The comparison is also false for a number that is not finite.
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise _invalid_field(key, value, f"a number from 0 to {maximum}")
    return value


def boolean(document: dict[str, typing.Any], key: str) -> bool:
    """Return the value of a Boolean field; a missing field is false.

    :raises MessageError: if the field is not a Boolean.
    """
    value = document.get(key, False)
    if type(value) is not bool:
        raise _invalid_field(key, value, "true or false")
    return value


def array(
    document: dict[str, typing.Any], key: str, default: list | None = None
) -> list[typing.Any]:
    """Return the value of a list field.

    :raises MessageError: if the field is missing and has no default, or is
        not a list.
    """
    return _checked_value(document, key, list, default)


def objects(
    document: dict[str, typing.Any], key: str, default: list | None = None
) -> list[dict[str, typing.Any]]:
    """Return the value of a field that holds a list of JSON objects.

    :raises MessageError: if the field is missing and has no default, or is
        not such a list.
    """
    rows = array(document, key, default)
    for row in rows:
        if not isinstance(row, dict):
            raise _invalid_field(key, row, "a list of objects")
    return rows


def json_object(
    document: dict[str, typing.Any], key: str
) -> dict[str, typing.Any]:
    """Return the value of a field that holds a JSON object.

    :raises MessageError: if the field is missing or not an object.
    """
    return _checked_value(document, key, dict, None)


def whole_milliseconds(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, rounded down."""
    return duration // clocks.MILLISECOND


def milliseconds(
    document: dict[str, typing.Any],
    key: str,
    default: int | None = None,
    maximum: int = MILLISECONDS_MAX,
) -> datetime.timedelta:
    """Return the value of a field that holds a duration in milliseconds.

    :param maximum: longest duration that is accepted, in milliseconds.
    :raises MessageError: if the field is missing and has no default, or is
        not a whole number of at least 0.
    """
    return datetime.timedelta(
        milliseconds=integer(document, key, default, maximum)
    )


def _checked_value(
    document: dict[str, typing.Any],
    key: str,
    expected_type: type,
    default: typing.Any,
) -> typing.Any:
    value = document.get(key, default)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise _invalid_field(key, value, f"a {expected_type.__name__}")
    return value


def _invalid_field(
    key: str, value: typing.Any, expected: str
) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"field {key!r} must be {expected}, not {str(value)[:50]!r}",
        context=key,
    )
