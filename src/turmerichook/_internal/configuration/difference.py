"""Human-readable differences between two sets of configuration files."""

import difflib

from turmerichook._internal.configuration import folder


def changed_names(before: folder.Files, after: folder.Files) -> list[str]:
    """Return the names of files that were added, removed or changed."""
    return sorted(
        name
        for name in set(before) | set(after)
        if before.get(name) != after.get(name)
    )


def unified(before: folder.Files, after: folder.Files) -> list[str]:
    """Return the lines of a unified diff over all files."""
    lines: list[str] = []
    for name in changed_names(before, after):
        lines += difflib.unified_diff(
            _lines(before.get(name, b"")),
            _lines(after.get(name, b"")),
            fromfile=name if name in before else "/dev/null",
            tofile=name if name in after else "/dev/null",
            lineterm="",
        )
    return lines


def _lines(content: bytes) -> list[str]:
    return content.decode("utf-8", "backslashreplace").splitlines()
