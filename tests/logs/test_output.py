"""Tests of the log sink that never waits."""

import fcntl
import os

from turmerichook._internal.logs import output


class Pipe:
    """A pipe whose reader reads when the test says so."""

    def __init__(self, monkeypatch):
        self.reader, writer = os.pipe()
        self.file = os.fdopen(writer, "w")
        monkeypatch.setattr("sys.stdout", self.file)
        self.sink = output.StandardOutput()

    def read(self):
        """Return the lines that have arrived."""
        flags = fcntl.fcntl(self.reader, fcntl.F_GETFL)
        fcntl.fcntl(self.reader, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data.decode().split("\n")


class TestStandardOutput:
    """Lines are written, or counted."""

    def test_slow_reader(self, monkeypatch):
        """Guards against a process that stands still for its log's reader."""
        pipe = Pipe(monkeypatch)
        for number in range(5000):
            pipe.sink.write(f"line {number} {'x' * 50}\n")
        first = pipe.read()
        assert first[0].startswith("line 0 ")
        assert pipe.sink.dropped_lines > 0
        lost = pipe.sink.dropped_lines
        pipe.sink.write("late\n")
        lines = pipe.read()
        assert f'{{"lines_left_out": {lost}}}' in lines
        assert "late" in lines

    def test_lines_stay_whole(self, monkeypatch):
        """Guards against a line that begins inside another."""
        pipe = Pipe(monkeypatch)
        text = ""
        for _ in range(5):
            for number in range(3000):
                pipe.sink.write(f"<{number:08}{'x' * 40}>\n")
            text += "\n".join(pipe.read())
        lines = text.split("\n")
        whole = [x for x in lines if x.startswith("<") and x.endswith(">")]
        assert len(whole) > 100
        assert all(len(line) == 50 for line in whole)
