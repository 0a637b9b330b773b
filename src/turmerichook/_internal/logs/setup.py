"""Set-up of loguru and the function that writes a numbered event."""

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
    loguru.logger.configure(extra={"node": node, "code": "", "fields": {}})
    line_of = _json_line if style == JSON else _text_line
    # loguru parses what a format function returns for each line again, but a
    # format text only once.
    loguru.logger.configure(
        patcher=lambda record: record["extra"].update(line=line_of(record))
    )
    loguru.logger.add(
        sys.stderr if sink is None else sink,
        level=level,
        format="{extra[line]}",
        backtrace=False,
        diagnose=False,
    )


def emit(event: events.EventEnum, **fields: typing.Any) -> None:
    """Write one event with its fields, within the event's limit."""
    definition = event.event
    now = time.monotonic()
    flush(now)
    if _limiter.allow(definition.code, definition.lines_allowed, now):
        _write(event, fields)


def flush(now: float) -> None:
    """Tell how many lines were left out in the periods that have passed.

    :param now: reading of ``time.monotonic``.
    """
    for left_out in _limiter.ended(now):
        _write(
            events.ProcessEvent.LINES_LEFT_OUT,
            {"left_out": left_out.code, "count": left_out.count},
        )


def _write(event: events.EventEnum, fields: dict[str, typing.Any]) -> None:
    definition = event.event
    safe = {
        name: HIDDEN
        if SECRET.search(name)
        else _plain(value, definition.value_characters)
        for name, value in fields.items()
    }
    loguru.logger.bind(
        code=definition.code,
        name=event.name.lower().replace("_", "-"),
        fields=safe,
    ).log(definition.level.value, "{}", definition.summary)


def _text_line(record: typing.Any) -> str:
    extra = record["extra"]
    pairs = " ".join(f"{k}={_quoted(v)}" for k, v in extra["fields"].items())
    when = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")
    return (
        f"{when} {record['level'].name} {extra['node']} {extra['code']} "
        f"{record['message']} {pairs}"
    )


def _json_line(record: typing.Any) -> str:
    extra = record["extra"]
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "node": extra["node"],
        "code": extra["code"],
        "event": extra.get("name", ""),
        "message": record["message"],
        **extra["fields"],
    }
    return json.dumps(document)


def _plain(value: typing.Any, longest: int) -> typing.Any:
    if isinstance(value, (int, float, bool, type(None))):
        return value
    text = str(value)
    if len(text) > longest:
        return text[:longest] + "..."
    return text


def _quoted(value: typing.Any) -> str:
    text = str(value)
    return json.dumps(text) if UNSAFE.search(text) else text
