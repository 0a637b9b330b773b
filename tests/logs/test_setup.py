"""Tests of log lines, their limits and the treatment of values."""

import json

import pytest

from turmerichook._internal.logs import events
from turmerichook._internal.logs import limits
from turmerichook._internal.logs import setup as logs


class Sample(events.EventEnum):
    """Events that only these tests write."""

    DECISION = events.Event(
        number=9001, level=events.Level.INFO, summary="a decision"
    )
    TROUBLE = events.Event(
        number=9002, level=events.Level.WARNING, summary="a trouble"
    )


@pytest.fixture(name="lines")
def _lines(capsys, monkeypatch):
    def read(style=logs.TEXT):
        monkeypatch.setattr(logs, "_limiter", limits.Limiter())
        logs.configure(node="n", style=style, level="DEBUG")
        return lambda: capsys.readouterr().err.splitlines()

    return read


class TestLimits:
    """Repeated events are limited, and suppressed lines are counted."""

    def test_warnings_are_limited(self, lines, monkeypatch):
        # Guards against one event in a loop that fills the disk, and against
        # suppressed lines that no line reports.
        read = lines()
        clock = [100.0]
        monkeypatch.setattr(logs.time, "monotonic", lambda: clock[0])
        for _ in range(50):
            logs.emit(Sample.TROUBLE)
        assert len(read()) == events.DEFAULT_LINES_ALLOWED
        clock[0] += limits.PERIOD_S
        logs.emit(Sample.TROUBLE)
        written = read()
        assert "TH-1010" in written[0]
        assert "left_out=TH-9002 count=30" in written[0]
        assert "TH-9002" in written[1]

    def test_decisions_are_not_limited(self, lines):
        # Guards against suppressed decisions, which a replay would lack.
        read = lines()
        for _ in range(50):
            logs.emit(Sample.DECISION)
        assert len(read()) == 50

    def test_periods_of_two_events(self):
        """Guards against a count that is reported with another event's period.

        The periods of two events end at different times.
        """
        limiter = limits.Limiter()
        for now, code in ((0.0, "a"), (4.0, "b")):
            limiter.allow(code, 1, now)
            limiter.allow(code, 1, now)
        assert limiter.close_periods(limits.PERIOD_S - 0.1) == []
        codes = [
            [suppressed.code for suppressed in limiter.close_periods(now)]
            for now in (limits.PERIOD_S, 4.0 + limits.PERIOD_S)
        ]
        assert codes == [["a"], ["b"]]


class TestValues:
    """Values cannot forge log lines or disclose secrets."""

    def test_values_cannot_forge_lines(self, lines):
        # Guards against log injection: a caller forges lines or fields by
        # line breaks or format directives in a value.
        read = lines()
        logs.emit(Sample.DECISION, path="x\nTH-1 owner=me", b="{0} <red>")
        (line,) = read()
        assert 'path="x\\nTH-1 owner=me"' in line
        assert 'b="{0} <red>"' in line

    @pytest.mark.parametrize("style", [logs.TEXT, logs.JSON])
    def test_secrets_are_redacted(self, lines, style):
        # Guards against credentials in the log.
        read = lines(style)
        logs.emit(Sample.DECISION, authorization="Bearer x1y2", team="desks")
        (line,) = read()
        assert "x1y2" not in line
        assert "desks" in line

    def test_json(self, lines):
        # Guards against lines that are not valid JSON.
        read = lines(logs.JSON)
        logs.emit(Sample.DECISION, count=3, text="a\nb" + "x" * 1000)
        (line,) = read()
        document = json.loads(line)
        assert document["code"] == "TH-9001"
        assert document["count"] == 3
        assert len(document["text"]) < 600

    def test_json_without_fields(self, lines):
        """Guards against invalid JSON in a line without event fields."""
        read = lines(logs.JSON)
        logs.emit(Sample.DECISION)
        (line,) = read()
        document = json.loads(line)
        assert list(document) == [
            "time",
            "level",
            "node",
            "code",
            "event",
            "message",
        ]
        assert document["event"] == "decision"
        assert document["message"] == "a decision"


class TestCost:
    """Writing a line takes one call of loguru."""

    def test_no_bound_logger_for_each_line(self, lines, monkeypatch):
        """Guards against the cost of a new bound logger for each line."""
        bound = []
        logger_class = type(logs.loguru.logger)
        bind = logger_class.bind
        monkeypatch.setattr(
            logger_class,
            "bind",
            lambda self, **kw: bound.append(1) or bind(self, **kw),
        )
        read = lines()
        logs.emit(Sample.DECISION)
        assert len(read()) == 1
        assert not bound
