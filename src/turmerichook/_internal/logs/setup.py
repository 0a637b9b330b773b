"""Set-up of loguru and the function that writes a numbered event."""

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

SECRET = re.compile(
    r"authorization|cookie|credential|passw|secret|token|api.?key", re.I
)
HIDDEN = "(hidden)"
# Such a value is quoted, so that it cannot look like other fields or lines.
UNSAFE = re.compile(r"[\s\"=\x00-\x1f\x7f-\x9f\u2028\u2029]")

_limiter = limits.Limiter()
_raw = loguru.logger.opt(raw=True)
_encode = json.JSONEncoder().encode


def configure(
    *,
    node: str,
    style: str,
    level: str,
    sink: typing.Any = None,
) -> None:
    """Send all log lines to a sink, standard error by default.

    :param node: name of the process, added to each line.
    :param style: ``text`` or ``json`` (one object a line).
    :param level: lowest level that is written.
    """
    loguru.logger.remove()
    line_of = _json_line if style == JSON else _text_line

    def patch(record: typing.Any) -> None:
        record["message"] = line_of(record, node) + "\n"

    # With the option "raw" loguru writes the patched message as it is. It
    # would fill each line into a format otherwise, and parse that again where
    # a function returns it.
    loguru.logger.configure(patcher=patch)
    loguru.logger.add(
        sys.stderr if sink is None else sink,
        level=level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )


def emit(event: events.EventEnum, **fields: typing.Any) -> None:
    """Write one event with its fields, within the event's limit."""
    definition = event.event
    now = time.monotonic()
    flush(now)
    if _limiter.allow(definition.code, definition.lines_allowed, now):
        _write(event, definition, fields)


def flush(now: float) -> None:
    """Tell how many lines were left out in the periods that have passed.

    :param now: reading of ``time.monotonic``.
    """
    for left_out in _limiter.ended(now):
        event = events.ProcessEvent.LINES_LEFT_OUT
        _write(
            event,
            event.event,
            {"left_out": left_out.code, "count": left_out.count},
        )


def _write(
    event: events.EventEnum,
    definition: events.Event,
    fields: dict[str, typing.Any],
) -> None:
    longest = definition.value_characters
    safe = {
        name: HIDDEN if _is_secret(name) else _plain(value, longest)
        for name, value in fields.items()
    }
    # The patcher makes the message from the extra values.
    _raw.log(
        definition.level.value, "", event=event, of=definition, fields=safe
    )


def _text_line(record: typing.Any, node: str) -> str:
    extra = record["extra"]
    definition = extra["of"]
    pairs = " ".join(f"{k}={_quoted(v)}" for k, v in extra["fields"].items())
    when = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")
    return (
        f"{when} {definition.level.value} {node} {definition.code} "
        f"{definition.summary} {pairs}"
    )


def _json_line(record: typing.Any, node: str) -> str:
    extra = record["extra"]
    fixed = _fixed_members(extra["event"], node)
    members = _encode(extra["fields"])[1:-1]
    if members:
        members = ", " + members
    return f'{{"time": "{record["time"].isoformat()}", {fixed}{members}}}'


@functools.cache
def _fixed_members(event: events.EventEnum, node: str) -> str:
    """Return what all JSON lines of an event share."""
    definition = event.event
    members = {
        "level": definition.level.value,
        "node": node,
        "code": definition.code,
        "event": event.name.lower().replace("_", "-"),
        "message": definition.summary,
    }
    return _encode(members)[1:-1]


@functools.cache
def _is_secret(name: str) -> bool:
    # Names come from the code, so that there are few.
    return SECRET.search(name) is not None


def _plain(value: typing.Any, longest: int) -> typing.Any:
    if isinstance(value, (int, float, type(None))):
        return value
    text = value if type(value) is str else str(value)
    if len(text) > longest:
        return text[:longest] + "..."
    return text


def _quoted(value: typing.Any) -> str:
    text = str(value)
    return json.dumps(text) if UNSAFE.search(text) else text
