"""Tests of the capacity page."""

import json

import pytest

from bench import fit
from tools import capacity_page


class TestPage:
    """The page and the committed measurements name the same figures."""

    def test_page_is_current(self):
        # Guards against figures on the page that no run produced.
        measured = json.loads(capacity_page.MEASURED.read_text())
        text = capacity_page.PAGE.read_text()
        assert capacity_page.page(text, measured) == text


class TestLine:
    """The fit that the page extrapolates with."""

    def test_points_on_a_line(self):
        # Guards against base and slope being exchanged.
        found = fit.line([(10, 25.0), (100, 205.0), (1000, 2005.0)])
        assert found.base == pytest.approx(5.0)
        assert found.slope == pytest.approx(2.0)
        assert found.error == pytest.approx(0.0)

    def test_error_is_the_largest_distance(self):
        # Guards against a bad fit that is presented as a good one.
        found = fit.line([(0, 0.0), (1, 10.0), (2, 0.0)])
        assert found.error > 0.5
