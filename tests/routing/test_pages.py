"""Tests that the pages agree with the code."""

import pathlib
import re

from turmerichook._internal.routing import refusals

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "routing.md"
ROW = re.compile(r"\| ([a-z-]+) \| (\d{3}) \| (\d+|-) \| (.+) \|")


class TestRefusalTable:
    """The table of refusals in ``docs/routing.md``."""

    def test_codes_agree(self):
        # Guards against a code that callers cannot look up.
        written = {
            (code, int(status), int(after.replace("-", "0")), title)
            for code, status, after, title in ROW.findall(PAGE.read_text())
        }
        kinds = [member.value for member in refusals.Code]
        known = {(k.code, k.status, k.retry_after, k.title) for k in kinds}
        assert written == known

    def test_every_code_is_used(self):
        # Guards against a code that the gateway never gives.
        folder = pathlib.Path(refusals.__file__).parent
        source = "".join(p.read_text() for p in folder.glob("*.py"))
        for member in refusals.Code:
            assert f"refusals.Code.{member.name}" in source, member
