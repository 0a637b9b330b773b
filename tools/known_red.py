"""Read the list of tests that are known to fail and that CI skips.

``KNOWN-RED.txt`` has one block of ``key: value`` lines for each test, blocks
separated by blank lines: ``test`` (a pytest node id, ``feature: scenario``
or ``cell: row/fault``), ``command`` (which runs the test), ``seed``, ``seen``
(the failure that was observed) and ``issue``. ``python -m tools.known_red``
prints the entries.
"""

import dataclasses
import pathlib

PAGE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KEYS = ("test", "command", "seed", "seen", "issue")


class FormatError(Exception):
    """An entry of ``KNOWN-RED.txt`` lacks a key or has an unknown one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A test that is known to fail, as listed in ``KNOWN-RED.txt``."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read(text: str) -> list[Entry]:
    """Parse the text of ``KNOWN-RED.txt``.

    :raises FormatError: if the keys of an entry are not exactly ``KEYS``.
    """
    return [
        _parse_entry(block) for block in text.split("\n\n") if block.strip()
    ]


def load() -> list[Entry]:
    """Return the entries of the repository's list.

    A repository without ``KNOWN-RED.txt`` has no entries.
    """
    return read(PAGE.read_text()) if PAGE.exists() else []


def tests() -> frozenset[str]:
    """Return the names of the tests that CI skips."""
    return frozenset(entry.test for entry in load())


def _parse_entry(block: str) -> Entry:
    fields = {}
    for line in block.strip().split("\n"):
        key, _, value = line.partition(": ")
        fields[key] = value
    if sorted(fields) != sorted(KEYS):
        raise FormatError(
            f"entry of KNOWN-RED.txt must have exactly the keys "
            f"{', '.join(KEYS)}; got {block!r}"
        )
    return Entry(**fields)


if __name__ == "__main__":
    for entry in load():
        print(f"known red: {entry.test} (issue {entry.issue}): {entry.seen}")
