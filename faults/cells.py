"""Cells of the matrix: which exist, and how one is run."""

import dataclasses
import pathlib
import tempfile

from faults import rows
from faults import strikes
from faults import world as worlds
from standins import history


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """A row with the faults that strike there, one after the other.

    :param impossible: why the cell cannot occur; empty if it can.
    """

    row: rows.Row
    faults: tuple[strikes.Fault, ...]
    impossible: str = ""

    @property
    def name(self) -> str:
        """``row/fault`` or ``row/fault+fault``."""
        return f"{self.row.name}/{'+'.join(f.name for f in self.faults)}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What a cell showed.

    :param setup: why the cell did not reach its step; empty if it did.
    """

    cell: str
    seed: int
    violations: tuple[history.Violation, ...] = ()
    setup: str = ""

    @property
    def passed(self) -> bool:
        """Whether the step was reached and every promise held."""
        return not self.violations and not self.setup


NO_ACTOR = "the operator's command line is not paused by the platform"
PAIRS = (
    ("killed", "store-down"),
    ("paused", "store-slow"),
    ("store-down", "host-dead"),
    ("cut-from-both", "killed"),
    ("host-dead", "list-stale"),
)


def all_cells() -> list[Cell]:
    """Return the cells of all rows and columns, single faults first."""
    by_name = {fault.name: fault for fault in strikes.FAULTS}
    cells = [
        Cell(row=row, faults=(fault,), impossible=_why_not(row, (fault,)))
        for row in rows.ROWS
        for fault in (strikes.NONE, *strikes.FAULTS)
    ]
    for row in rows.ROWS:
        for names in PAIRS:
            pair = tuple(by_name[name] for name in names)
            cells.append(
                Cell(row=row, faults=pair, impossible=_why_not(row, pair))
            )
    return cells


def find(name: str) -> Cell:
    """Return a cell by its name.

    :raises KeyError: if there is none.
    """
    return {cell.name: cell for cell in all_cells()}[name]


def run(cell: Cell, seed: int, *, broken: str = "") -> Verdict:
    """Run a cell and check its history.

    :param broken: name of a deliberate break of the product.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        world = worlds.World(folder=folder, seed=seed, broken=broken)
        setup = ""
        try:
            world.start()
            _strike(cell, world)
        except worlds.SetupError as error:
            setup = str(error)
        finally:
            world.stop()
        found = history.check(world.system.history())
    return Verdict(
        cell=cell.name, seed=seed, violations=tuple(found), setup=setup
    )


def _strike(cell: Cell, world: worlds.World) -> None:
    world.submit(rows.PLAIN_JOB, tasks=2)
    reached = cell.row.reach(world)
    for fault in cell.faults:
        fault.strike(world, reached)
        # A second fault strikes the same process without a held step.
        reached = dataclasses.replace(reached, held="")
    world.note_applied()
    if world.zone_is_out("a"):
        world.set_zone("a", "in")
    world.finish_jobs()


def _why_not(row: rows.Row, faults: tuple[strikes.Fault, ...]) -> str:
    names = {fault.name for fault in faults}
    if row.subject == "configuration change" and "paused" in names:
        if row.name != "config-spread":
            return NO_ACTOR
    return ""
