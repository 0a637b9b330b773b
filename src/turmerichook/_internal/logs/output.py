"""Standard output as a log sink that never waits for its reader."""

import fcntl
import os
import sys


class StandardOutput:
    """Writes whole lines while the reader takes them, and counts the rest."""

    def __init__(self):
        self.descriptor = sys.stdout.fileno()
        flags = fcntl.fcntl(self.descriptor, fcntl.F_GETFL)
        fcntl.fcntl(self.descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self.left_out = 0
        self.rest = b""

    def write(self, message: str) -> None:
        """Write a line, or count it if the reader is too slow."""
        data = message.encode("utf-8", "backslashreplace")
        if self.left_out:
            data = b'{"lines_left_out": %d}\n' % self.left_out + data
        try:
            if self.rest:
                self.rest = self._put(self.rest)
            if self.rest:
                self.left_out += 1
                return
            self.rest = self._put(data)
            self.left_out = 0
        except OSError:
            # Nobody can be told of a broken log but by its count.
            self.left_out += 1

    def flush(self) -> None:
        """Do nothing: lines are written at once."""

    def _put(self, data: bytes) -> bytes:
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
