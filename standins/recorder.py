"""Appends entries of a history to a file, one JSON object a line.

Several processes append to the same file; each line is one write, so lines
do not mix.
"""

import json
import pathlib
import time
import typing


class Recorder:
    """Writes entries with the time at which they were made."""

    def __init__(self, *, path: pathlib.Path):
        self.file = path.open("a", buffering=1)

    def __call__(self, entry: dict[str, typing.Any]) -> None:
        self.file.write(json.dumps({"time": time.time(), **entry}) + "\n")
