"""Run cells of the fault matrix.

``python -m faults [--seed N] [--jobs N] [CELL...]``; a cell is ``row/fault``
or a pattern such as ``task-*/killed``. The command prints a line for each cell
and exits with status 1 if any cell failed.
"""

import argparse
import concurrent.futures
import fnmatch
import sys

from faults import cells

DEFAULT_JOBS = 3


def main() -> int:
    """Run the selected cells and return the exit status."""
    parser = argparse.ArgumentParser(prog="faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("cells", nargs="*", default=["*"])
    options = parser.parse_args()
    selected = [
        cell
        for cell in cells.all_cells()
        if not cell.impossible
        and any(fnmatch.fnmatchcase(cell.name, p) for p in options.cells)
    ]
    failure_count = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for verdict in pool.map(
            lambda cell: cells.run(cell, options.seed), selected
        ):
            failure_count += not verdict.passed
            _print(verdict)
    print(
        f"{len(selected)} cells, {failure_count} failed, seed {options.seed}"
    )
    return 1 if failure_count else 0


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
