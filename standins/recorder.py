"""Appends the entries of a history to a file of JSON lines.

Several processes append to the same file. Each line is written in a single
write, so that lines of different processes do not interleave.
"""

import json
import pathlib
import time
import typing


class Recorder:
    """Writes entries with the current time as ``time``."""

    def __init__(self, *, path: pathlib.Path):
        self.file = path.open("a", buffering=1)

    def __call__(self, entry: dict[str, typing.Any]) -> None:
        self.file.write(json.dumps({"time": time.time(), **entry}) + "\n")
