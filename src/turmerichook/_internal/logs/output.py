"""Log sink that writes to standard output without blocking."""

import fcntl
import os
import sys


class StandardOutput:
    """Writes lines to standard output and drops them if the reader is slow.

    The descriptor is set to non-blocking mode, so that a reader that stops
    reading cannot stop the process. A line that was written in part is
    completed before the next one; dropped lines are counted, and the count is
    written before the next line that is accepted.
    """

    def __init__(self):
        self.descriptor = sys.stdout.fileno()
        flags = fcntl.fcntl(self.descriptor, fcntl.F_GETFL)
        fcntl.fcntl(self.descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self.dropped_lines = 0
        self.unwritten = b""

    def write(self, message: str) -> None:
        """Write a line, or drop and count it if the reader is too slow."""
        data = message.encode("utf-8", "backslashreplace")
        if self.dropped_lines:
            data = b'{"lines_left_out": %d}\n' % self.dropped_lines + data
        try:
            if self.unwritten:
                self.unwritten = self._write_available(self.unwritten)
            if self.unwritten:
                self.dropped_lines += 1
                return
            self.unwritten = self._write_available(data)
            self.dropped_lines = 0
        except OSError:
            # A failure of the log cannot be logged, so only the count of
            # dropped lines shows it.
            self.dropped_lines += 1

    def flush(self) -> None:
        """Do nothing, because lines are not buffered."""

    def _write_available(self, data: bytes) -> bytes:
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
