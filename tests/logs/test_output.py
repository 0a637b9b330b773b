"""Tests of the non-blocking log sink."""

import fcntl
import os

from turmerichook._internal.logs import output


class Pipe:
    """Standard output as a pipe that is read only when a test does so."""

    def __init__(self, monkeypatch):
        self.reader, writer = os.pipe()
        self.file = os.fdopen(writer, "w")
        monkeypatch.setattr("sys.stdout", self.file)
        self.sink = output.StandardOutput()

    def read(self):
        """Return the lines that are in the pipe."""
        flags = fcntl.fcntl(self.reader, fcntl.F_GETFL)
        fcntl.fcntl(self.reader, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data.decode().split("\n")


class TestStandardOutput:
    """Each line is written whole, or dropped and counted."""

    def test_slow_reader(self, monkeypatch):
        """Guards against a process that blocks on a slow reader of its log.

        The test fills the pipe: further lines must be dropped and counted.
        """
        pipe = Pipe(monkeypatch)
        for number in range(5000):
            pipe.sink.write(f"line {number} {'x' * 50}\n")
        first = pipe.read()
        assert first[0].startswith("line 0 ")
        assert pipe.sink.dropped_lines > 0
        dropped = pipe.sink.dropped_lines
        pipe.sink.write("late\n")
        lines = pipe.read()
        assert f'{{"lines_left_out": {dropped}}}' in lines
        assert "late" in lines

    def test_lines_stay_whole(self, monkeypatch):
        """Guards against a line that starts inside another.

        A full pipe takes only a part of a line; the rest of the line must be
        written before the next line.
        """
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
