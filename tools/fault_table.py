"""Write ``docs/fault-matrix.md`` from the cells of the fault matrix.

``python -m tools.fault_table`` rewrites the page. A test fails if the
committed page differs from the text that this module generates.
"""

import pathlib

from faults import cells
from faults import rows
from faults import strikes

PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "fault-matrix.md"
)

HEADER = """# Fault matrix

Each cell is a scenario over real processes: the system reaches the step of
the row, the fault of the column strikes there, and the recorded history is
checked against every promise (`docs/history.md`). `make faults` runs all of
them, `make faults CELLS=row/fault SEED=3` one. A step that is a call to the
platform or an endpoint is held there, before or after the call took effect.
Besides the single faults each row is run with pairs of them. This page is
written by `python -m tools.fault_table`.

"""


def render() -> str:
    """Return the text of the page in Markdown."""
    faults = (strikes.NONE, *strikes.FAULTS)
    names = [fault.name for fault in faults]
    lines = [
        "| step | " + " | ".join(names) + " |",
        "|---" * (len(names) + 1) + "|",
    ]
    by_name = {cell.name: cell for cell in cells.all_cells()}
    for row in rows.ROWS:
        row_cells = [
            _format_cell(by_name[f"{row.name}/{name}"]) for name in names
        ]
        lines.append(
            f"| {row.subject}: {row.name} | {' | '.join(row_cells)} |"
        )
    pairs = ["", "Pairs, for each row:", ""]
    pairs += [f"- `{'+'.join(names)}`" for names in cells.PAIRS]
    reasons = sorted({c.impossible for c in by_name.values() if c.impossible})
    notes = ["", "Cells that cannot occur:", ""]
    notes += [f"- {reason}" for reason in reasons]
    return HEADER + "\n".join(lines + pairs + notes) + "\n"


def _format_cell(cell: cells.Cell) -> str:
    return "cannot occur" if cell.impossible else f"`{cell.name}`"


if __name__ == "__main__":
    PAGE.write_text(render())
