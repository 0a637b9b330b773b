"""Finding the line of each key in a TOML text.

``tomllib`` does not report lines. This scan knows headers and ``key = value``
lines, which covers files as people write them; a key that it does not find
is reported without a line. It never decides whether a file is valid.
"""

import re

HEADER = re.compile(r"\s*\[([^\[\]]+)\]\s*(?:#.*)?")
ASSIGNMENT = re.compile(r"\s*((?:[\w-]+|\"[^\"]*\"|'[^']*'|\s*\.\s*)+?)\s*=")
PART = re.compile(r"[\w-]+|\"[^\"]*\"|'[^']*'")


def locate(text: str) -> dict[str, int]:
    """Return the first line of each key path, counted from 1."""
    found: dict[str, int] = {}
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.fullmatch(line)
        if header:
            table = _parts(header.group(1))
            found.setdefault(".".join(table), number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            path = table + _parts(assignment.group(1))
            found.setdefault(".".join(path), number)
    return found


def _parts(dotted: str) -> list[str]:
    return [part.strip("\"'") for part in PART.findall(dotted)]
