"""Tests of the tables that define the fault matrix."""

from faults import cells
from tools import fault_table


class TestTable:
    """The documentation and the matrix name the same cells."""

    def test_page_matches_generated_text(self):
        # Guards against a page that was not regenerated after a change and
        # documents other cells than the matrix runs.
        assert fault_table.PAGE.read_text() == fault_table.render()

    def test_cell_names_are_unique(self):
        # Guards against two cells with the same name, of which a lookup by
        # name finds only one.
        names = [cell.name for cell in cells.all_cells()]
        assert len(names) == len(set(names))
