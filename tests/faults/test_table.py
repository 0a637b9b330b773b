"""Tests of the fault matrix's own tables."""

from faults import cells
from tools import fault_table


class TestTable:
    """The page and the scenarios name the same cells."""

    def test_page_is_current(self):
        # Guards against a cell that is documented but not run.
        assert fault_table.PAGE.read_text() == fault_table.render()

    def test_names_are_unique(self):
        # Guards against one cell standing in for another.
        names = [cell.name for cell in cells.all_cells()]
        assert len(names) == len(set(names))
