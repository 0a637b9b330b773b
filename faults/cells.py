"""Lists the cells of the fault matrix and runs a cell."""

import dataclasses
import pathlib
import tempfile

from faults import rows
from faults import strikes
from faults import world as worlds
from standins import history


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """A row of the matrix and the faults to inject there, in order.

    :param impossible: why the cell cannot occur; empty if it can occur.
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
    """The result of running a cell.

    :param setup: why the system did not reach the row's step; empty if the
        step was reached.
    """

    cell: str
    seed: int
    violations: tuple[history.Violation, ...] = ()
    setup: str = ""

    @property
    def passed(self) -> bool:
        """Whether the step was reached without violating a guarantee."""
        return not self.violations and not self.setup


PAUSE_IMPOSSIBLE = "the operator's command line is not paused by the platform"
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
        Cell(
            row=row,
            faults=(fault,),
            impossible=_impossible_because(row, (fault,)),
        )
        for row in rows.ROWS
        for fault in (strikes.NONE, *strikes.FAULTS)
    ]
    for row in rows.ROWS:
        for names in PAIRS:
            pair = tuple(by_name[name] for name in names)
            cells.append(
                Cell(
                    row=row,
                    faults=pair,
                    impossible=_impossible_because(row, pair),
                )
            )
    return cells


def find(name: str) -> Cell:
    """Return the cell with a name.

    :raises KeyError: if there is no such cell.
    """
    return {cell.name: cell for cell in all_cells()}[name]


def run(cell: Cell, seed: int, *, broken: str = "") -> Verdict:
    """Run a cell and check its history.

    :param broken: name of a defect to inject into the product.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        world = worlds.World(folder=folder, seed=seed, broken=broken)
        setup = ""
        try:
            world.start()
            _inject_faults(cell, world)
        except worlds.SetupError as error:
            setup = str(error)
        finally:
            world.stop()
        violations = history.check(world.system.history())
    return Verdict(
        cell=cell.name, seed=seed, violations=tuple(violations), setup=setup
    )


def _inject_faults(cell: Cell, world: worlds.World) -> None:
    world.submit(rows.BACKGROUND_JOB, tasks=2)
    step = cell.row.reach_step(world)
    for fault in cell.faults:
        fault.inject(world, step)
        # A second fault affects the same process. The step is no longer
        # suspended, because the first fault released it.
        step = dataclasses.replace(step, suspended_at="")
    world.record_generation_in_force()
    if world.zone_is_out("a"):
        world.set_zone("a", "in")
    world.finish_jobs()


def _impossible_because(
    row: rows.Row, faults: tuple[strikes.Fault, ...]
) -> str:
    names = {fault.name for fault in faults}
    if row.subject == "configuration change" and "paused" in names:
        if row.name != "config-spread":
            return PAUSE_IMPOSSIBLE
    return ""
