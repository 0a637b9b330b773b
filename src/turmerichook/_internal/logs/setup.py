"""Sets up loguru and writes numbered events."""

import functools
import json
import re
import sys
import time
import typing

import loguru

from turmerichook._internal.logs import events
from turmerichook._internal.logs import limits

TEXT = "text"
JSON = "json"

SECRET_NAME = re.compile(
    r"authorization|cookie|credential|passw|secret|token|api.?key", re.I
)
REDACTED = "(hidden)"
# Values with one of these characters are quoted, so that they cannot be
# mistaken for further fields or lines.
UNSAFE_CHARACTER = re.compile(r"[\s\"=\x00-\x1f\x7f-\x9f\u2028\u2029]")

_limiter = limits.Limiter()
_raw_logger = loguru.logger.opt(raw=True)
_encode_json = json.JSONEncoder().encode


def configure(
    *,
    node: str,
    style: str,
    level: str,
    sink: typing.Any = None,
) -> None:
    """Direct all log lines to one sink, by default standard error.

    :param node: name of the process, added to each line.
    :param style: ``text``, or ``json`` for one JSON object on each line.
    :param level: lowest level that is written.
    :param sink: sink in loguru's sense; None for standard error.
    """
    loguru.logger.remove()
    format_line = _json_line if style == JSON else _text_line

    def patch(record: typing.Any) -> None:
        record["message"] = format_line(record, node) + "\n"

    # With the option "raw" loguru writes the patched message unchanged.
    # Without the option it would format each line again, and with a function
    # as the format it would parse the returned format for each line.
    loguru.logger.configure(patcher=patch)
    loguru.logger.add(
        sys.stderr if sink is None else sink,
        level=level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )


def emit(event: events.EventEnum, **fields: typing.Any) -> None:
    """Write one event with its fields unless its limit is reached."""
    definition = event.event
    now = time.monotonic()
    flush(now)
    if _limiter.allow(definition.code, definition.lines_allowed, now):
        _write(event, definition, fields)


def flush(now: float) -> None:
    """Log how many lines were suppressed in the periods that have ended.

    :param now: reading of ``time.monotonic``.
    """
    for suppressed in _limiter.close_periods(now):
        event = events.ProcessEvent.LINES_LEFT_OUT
        _write(
            event,
            event.event,
            {"left_out": suppressed.code, "count": suppressed.count},
        )


def _write(
    event: events.EventEnum,
    definition: events.Event,
    fields: dict[str, typing.Any],
) -> None:
    max_characters = definition.value_characters
    safe = {
        name: REDACTED
        if _is_secret(name)
        else _loggable(value, max_characters)
        for name, value in fields.items()
    }
    # The patcher in ``configure`` builds the line from the extra values, so
    # that the message itself is empty.
    _raw_logger.log(
        definition.level.value, "", event=event, of=definition, fields=safe
    )


def _text_line(record: typing.Any, node: str) -> str:
    extra = record["extra"]
    definition = extra["of"]
    pairs = " ".join(
        f"{k}={_quote_if_unsafe(v)}" for k, v in extra["fields"].items()
    )
    timestamp = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")
    return (
        f"{timestamp} {definition.level.value} {node} {definition.code} "
        f"{definition.summary} {pairs}"
    )


def _json_line(record: typing.Any, node: str) -> str:
    extra = record["extra"]
    fixed = _fixed_members(extra["event"], node)
    members = _encode_json(extra["fields"])[1:-1]
    if members:
        members = ", " + members
    return f'{{"time": "{record["time"].isoformat()}", {fixed}{members}}}'


@functools.cache
def _fixed_members(event: events.EventEnum, node: str) -> str:
    """Return the encoded members that all JSON lines of an event share."""
    definition = event.event
    members = {
        "level": definition.level.value,
        "node": node,
        "code": definition.code,
        "event": event.name.lower().replace("_", "-"),
        "message": definition.summary,
    }
    return _encode_json(members)[1:-1]


@functools.cache
def _is_secret(name: str) -> bool:
    # The cache stays small, because field names come from the code alone.
    return SECRET_NAME.search(name) is not None


def _loggable(value: typing.Any, max_characters: int) -> typing.Any:
    if isinstance(value, (int, float, type(None))):
        return value
    text = value if type(value) is str else str(value)
    if len(text) > max_characters:
        return text[:max_characters] + "..."
    return text


def _quote_if_unsafe(value: typing.Any) -> str:
    text = str(value)
    return json.dumps(text) if UNSAFE_CHARACTER.search(text) else text
