"""Write ``docs/events.md``, the catalogue of numbered log events.

``python -m tools.event_catalogue`` rewrites the page from the slices' event
lists. A test compares the page with what this module would write.
"""

import importlib
import pathlib

from turmerichook._internal.logs import events

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "events.md"
PACKAGE = ROOT / "src" / "turmerichook" / "_internal"

HEADER = """# Log events

Every log line that the daemons write carries one of these numbers. This page
is written by `python -m tools.event_catalogue`.

| number | level | name | meaning |
|---|---|---|---|
"""


def collect() -> list[events.EventEnum]:
    """Return all events of all slices by their number."""
    for path in sorted(PACKAGE.glob("*/events.py")):
        if path.parent.name != "logs":
            importlib.import_module(
                f"turmerichook._internal.{path.parent.name}.events"
            )
    # Tests define events of their own, which are not the product's.
    found = [
        event
        for kind in events.EventEnum.__subclasses__()
        if kind.__module__.startswith("turmerichook.")
        for event in kind
    ]
    return sorted(found, key=lambda event: event.event.number)


def render() -> str:
    """Return the page."""
    rows = [
        f"| {e.event.code} | {e.event.level.value} "
        f"| {e.name.lower().replace('_', '-')} | {e.event.summary} |"
        for e in collect()
    ]
    return HEADER + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(render())
