"""Tests that the documentation agrees with the code."""

import pathlib
import re

from turmerichook._internal.routing import refusals

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "routing.md"
ROW = re.compile(r"\| ([a-z-]+) \| (\d{3}) \| (\d+|-) \| (.+) \|")


class TestRefusalTable:
    """The table of refusal codes in ``docs/routing.md``."""

    def test_documented_codes_agree_with_code(self):
        # Guards against a code that callers cannot look up, or whose status,
        # Retry-After or title differs from the documentation.
        written = {
            (code, int(status), int(after.replace("-", "0")), title)
            for code, status, after, title in ROW.findall(PAGE.read_text())
        }
        kinds = [member.value for member in refusals.Code]
        known = {(k.code, k.status, k.retry_after, k.title) for k in kinds}
        assert written == known

    def test_every_code_is_used(self):
        # Guards against a documented code that no module of the gateway
        # uses.
        folder = pathlib.Path(refusals.__file__).parent
        source = "".join(p.read_text() for p in folder.glob("*.py"))
        for member in refusals.Code:
            assert f"refusals.Code.{member.name}" in source, member
