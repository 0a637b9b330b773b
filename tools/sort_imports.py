"""Sort import lines as rule H306 of OpenStack's hacking requires.

``python -m tools.sort_imports DIR...`` rewrites the files in place. H306
requires neighbouring import lines to be in the order of their full dotted
names, and ``ruff format`` has no option for that order.
"""

import pathlib
import re
import sys

IMPORT = re.compile(r"(?:from (\S+) )?import (\S+)(?: as \S+)?")


def sort_key(line: str) -> str:
    """Return the full dotted name by which H306 orders a line.

    The sorted_lines is an empty string if the line is not an import.
    """
    match = IMPORT.fullmatch(line)
    if match is None:
        return ""
    package, name = match.groups()
    return (f"{package}.{name}" if package else name).lower()


def sort_lines(lines: list[str]) -> list[str]:
    """Return the lines with each block of adjacent import lines sorted."""
    sorted_lines: list[str] = []
    block: list[str] = []
    for line in lines:
        if sort_key(line):
            block.append(line)
            continue
        sorted_lines += sorted(block, key=sort_key)
        block = []
        sorted_lines.append(line)
    return sorted_lines + sorted(block, key=sort_key)


def main(directories: list[str]) -> None:
    """Sort the imports of all Python files below the directories."""
    for directory in directories:
        for path in sorted(pathlib.Path(directory).rglob("*.py")):
            old_text = path.read_text()
            new_text = "\n".join(sort_lines(old_text.split("\n")))
            if new_text != old_text:
                path.write_text(new_text)


if __name__ == "__main__":
    main(sys.argv[1:])
