"""Tests of what reaches the log."""

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
    """Repeating events are limited and what was left out is counted."""

    def test_warnings(self, lines, monkeypatch):
        # Guards against a full disk from one event in a loop, and against
        # lines that vanish without a trace.
        read = lines()
        clock = [100.0]
        monkeypatch.setattr(logs.time, "monotonic", lambda: clock[0])
        for _ in range(50):
            logs.emit(Sample.TROUBLE)
        assert len(read()) == events.DEFAULT_LINES_ALLOWED
        clock[0] += limits.PERIOD_S
        logs.emit(Sample.TROUBLE)
        found = read()
        assert "TH-1010" in found[0]
        assert "left_out=TH-9002 count=30" in found[0]
        assert "TH-9002" in found[1]

    def test_decisions(self, lines):
        # Guards against a replay that lacks some decisions.
        read = lines()
        for _ in range(50):
            logs.emit(Sample.DECISION)
        assert len(read()) == 50

    def test_periods_of_two_events(self):
        """Guards against a count that waits for the period of another."""
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
    """Values cannot forge lines or reveal secrets."""

    def test_hostile_value(self, lines):
        # Guards against a caller who writes log lines of his own.
        read = lines()
        logs.emit(Sample.DECISION, path="x\nTH-1 owner=me", b="{0} <red>")
        (line,) = read()
        assert 'path="x\\nTH-1 owner=me"' in line
        assert 'b="{0} <red>"' in line

    @pytest.mark.parametrize("style", [logs.TEXT, logs.JSON])
    def test_secrets(self, lines, style):
        # Guards against credentials in logs.
        read = lines(style)
        logs.emit(Sample.DECISION, authorization="Bearer x1y2", team="desks")
        (line,) = read()
        assert "x1y2" not in line
        assert "desks" in line

    def test_json(self, lines):
        # Guards against lines that programs cannot read.
        read = lines(logs.JSON)
        logs.emit(Sample.DECISION, count=3, text="a\nb" + "x" * 1000)
        (line,) = read()
        document = json.loads(line)
        assert document["code"] == "TH-9001"
        assert document["count"] == 3
        assert len(document["text"]) < 600

    def test_json_without_fields(self, lines):
        """Guards against a line that is not JSON where no field follows."""
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
    """A line costs one pass through loguru."""

    def test_no_logger_for_a_line(self, lines, monkeypatch):
        """Guards against a new bound logger for each line."""
        made = []
        kind = type(logs.loguru.logger)
        bind = kind.bind
        monkeypatch.setattr(
            kind, "bind", lambda self, **kw: made.append(1) or bind(self, **kw)
        )
        read = lines()
        logs.emit(Sample.DECISION)
        assert len(read()) == 1
        assert not made
