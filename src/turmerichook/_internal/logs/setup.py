"""Set-up of loguru and the function that writes a numbered event."""

import json
import sys
import typing

import loguru

from turmerichook._internal.logs import events

TEXT = "text"
JSON = "json"


def configure(*, node: str, style: str, level: str) -> None:
    """Send all log lines to standard error.

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
        sys.stderr,
        level=level,
        format="{extra[line]}",
        backtrace=False,
        diagnose=False,
    )


def emit(event: events.EventEnum, **fields: typing.Any) -> None:
    """Write one event with its fields."""
    definition = event.event
    loguru.logger.bind(
        code=definition.code,
        name=event.name.lower().replace("_", "-"),
        fields=fields,
    ).log(definition.level.value, "{}", definition.summary)


def _text_line(record: typing.Any) -> str:
    extra = record["extra"]
    pairs = " ".join(f"{k}={v}" for k, v in extra["fields"].items())
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
        **{k: _plain(v) for k, v in extra["fields"].items()},
    }
    return json.dumps(document)


def _plain(value: typing.Any) -> typing.Any:
    if isinstance(value, (str, int, float, bool, type(None))):
        return value
    return str(value)
