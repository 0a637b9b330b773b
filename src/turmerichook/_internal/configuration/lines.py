"""Find the line number of each key in a TOML file.

``tomllib`` does not report line numbers. This scan recognizes table headers
and ``key = value`` lines, which are enough for usual hand-written files. A
problem with a key that the scan misses is reported without a line number.
The scan has no part in deciding whether a file is valid.
"""

import re

HEADER = re.compile(r"\s*\[([^\[\]]+)\]\s*(?:#.*)?")
ASSIGNMENT = re.compile(r"\s*((?:[\w-]+|\"[^\"]*\"|'[^']*'|\s*\.\s*)+?)\s*=")
KEY_PART = re.compile(r"[\w-]+|\"[^\"]*\"|'[^']*'")


def find_key_lines(text: str) -> dict[str, int]:
    """Return the line, counted from 1, where each key path first occurs."""
    key_lines: dict[str, int] = {}
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.fullmatch(line)
        if header:
            table = _split_key(header.group(1))
            key_lines.setdefault(".".join(table), number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            path = table + _split_key(assignment.group(1))
            key_lines.setdefault(".".join(path), number)
    return key_lines


def _split_key(dotted: str) -> list[str]:
    return [part.strip("\"'") for part in KEY_PART.findall(dotted)]
