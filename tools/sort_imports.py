"""Sort import lines the way that hacking's rule H306 asks for.

``python -m tools.sort_imports DIR...`` rewrites the files in place. H306
compares the full dotted names of neighbouring lines, which no option of the
formatter does.
"""

import pathlib
import re
import sys

IMPORT = re.compile(r"(?:from (\S+) )?import (\S+)(?: as \S+)?")


def sort_key(line: str) -> str:
    """Return the full dotted name that H306 compares, or an empty string."""
    match = IMPORT.fullmatch(line)
    if match is None:
        return ""
    package, name = match.groups()
    return (f"{package}.{name}" if package else name).lower()


def sort_lines(lines: list[str]) -> list[str]:
    """Return the lines with each run of import lines sorted."""
    result: list[str] = []
    block: list[str] = []
    for line in lines:
        if sort_key(line):
            block.append(line)
            continue
        result += sorted(block, key=sort_key)
        block = []
        result.append(line)
    return result + sorted(block, key=sort_key)


def main(directories: list[str]) -> None:
    """Sort the imports of all Python files below some directories."""
    for directory in directories:
        for path in sorted(pathlib.Path(directory).rglob("*.py")):
            before = path.read_text()
            after = "\n".join(sort_lines(before.split("\n")))
            if after != before:
                path.write_text(after)


if __name__ == "__main__":
    main(sys.argv[1:])
