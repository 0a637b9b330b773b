"""Write ``docs/events.md``, the catalogue of numbered log events.

``python -m tools.event_catalogue`` rewrites the page from the ``events``
modules of the packages below ``turmerichook._internal``. A test fails if the
committed page differs from the text that this module generates.
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
    """Return the events of all packages, sorted by number."""
    for path in sorted(PACKAGE.glob("*/events.py")):
        if path.parent.name != "logs":
            importlib.import_module(
                f"turmerichook._internal.{path.parent.name}.events"
            )
    # Tests define further subclasses of EventEnum, which don't belong in
    # the catalogue.
    catalogued = [
        event
        for enum_class in events.EventEnum.__subclasses__()
        if enum_class.__module__.startswith("turmerichook.")
        for event in enum_class
    ]
    return sorted(catalogued, key=lambda event: event.event.number)


def render() -> str:
    """Return the text of the page in Markdown."""
    rows = [
        f"| {e.event.code} | {e.event.level.value} "
        f"| {e.name.lower().replace('_', '-')} | {e.event.summary} |"
        for e in collect()
    ]
    return HEADER + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(render())
