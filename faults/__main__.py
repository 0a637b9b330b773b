"""Run cells of the fault matrix.

``python -m faults [--seed N] [--jobs N] [CELL...]``; a cell is ``row/fault``
or a pattern such as ``task-*/killed``. Prints a line for each cell and exits
with 1 if any failed.
"""

import argparse
import concurrent.futures
import fnmatch
import sys

from faults import cells

JOBS = 3


def main() -> int:
    """Run the cells and return the exit status."""
    parser = argparse.ArgumentParser(prog="faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("cells", nargs="*", default=["*"])
    options = parser.parse_args()
    chosen = [
        cell
        for cell in cells.all_cells()
        if not cell.impossible
        and any(fnmatch.fnmatchcase(cell.name, p) for p in options.cells)
    ]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for verdict in pool.map(
            lambda cell: cells.run(cell, options.seed), chosen
        ):
            failed += not verdict.passed
            _print(verdict)
    print(f"{len(chosen)} cells, {failed} failed, seed {options.seed}")
    return 1 if failed else 0


def _print(verdict: cells.Verdict) -> None:
    word = "ok" if verdict.passed else "FAILED"
    print(f"{word:7}{verdict.cell}", flush=True)
    if verdict.setup:
        print(f"       not reached: {verdict.setup}", flush=True)
    for violation in verdict.violations[:5]:
        line = f"{violation.promise.value}: {violation.detail}"
        print(f"       {line[:400]}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
