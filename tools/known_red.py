"""Tests that are known to fail and that CI passes over.

``KNOWN-RED.txt`` has one block of ``key: value`` lines for each test, blocks
separated by blank lines: ``test`` (a pytest node id, ``feature: scenario``
or ``cell: row/fault``), ``command``, ``seed``, ``seen`` and ``issue``. Run as
a program, the module prints the entries.
"""

import dataclasses
import pathlib

PAGE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KEYS = ("test", "command", "seed", "seen", "issue")


class FormatError(Exception):
    """The file has an entry that is incomplete or has unknown keys."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One test that is passed over."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read(text: str) -> list[Entry]:
    """Return the entries of a file's text.

    :raises FormatError: if an entry does not have exactly the known keys.
    """
    return [_entry(block) for block in text.split("\n\n") if block.strip()]


def load() -> list[Entry]:
    """Return the entries of the repository's file, if there is one."""
    return read(PAGE.read_text()) if PAGE.exists() else []


def tests() -> frozenset[str]:
    """Return the names of the tests that are passed over."""
    return frozenset(entry.test for entry in load())


def _entry(block: str) -> Entry:
    fields = {}
    for line in block.strip().split("\n"):
        key, _, value = line.partition(": ")
        fields[key] = value
    if sorted(fields) != sorted(KEYS):
        raise FormatError(f"expected the keys {', '.join(KEYS)}: {block!r}")
    return Entry(**fields)


if __name__ == "__main__":
    for known in load():
        print(f"known red: {known.test} (issue {known.issue}): {known.seen}")
