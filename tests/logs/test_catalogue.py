"""Tests of the catalogue of log events."""

import pathlib
import re

from tools import event_catalogue


class TestCatalogue:
    """The catalogue page and the code list the same events."""

    def test_page_is_current(self):
        # Guards against an event that was added or changed in the code only.
        assert event_catalogue.PAGE.read_text() == event_catalogue.render()

    def test_numbers_are_unique(self):
        # Guards against two subpackages that use the same number.
        numbers = [e.event.number for e in event_catalogue.collect()]
        assert len(numbers) == len(set(numbers))

    def test_every_event_is_used(self):
        # Guards against an event in the catalogue that no code writes.
        source = "\n".join(
            path.read_text()
            for path in pathlib.Path(event_catalogue.PACKAGE).rglob("*.py")
        )
        for event in event_catalogue.collect():
            name = f"{type(event).__name__}.{event.name}"
            assert re.search(rf"\b{re.escape(name)}\b", source), name
