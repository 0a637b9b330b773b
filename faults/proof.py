"""Shows that the checker catches each deliberate break.

``python -m faults.proof [--seed N] [BREAK...]`` runs the cell of each break
twice, with the break and without it, and exits with 1 unless the promise is
reported broken with the break and kept without it.
"""

import argparse
import concurrent.futures
import sys

from faults import breaks
from faults import cells

JOBS = 3


def main() -> int:
    """Run the breaks and return the exit status."""
    parser = argparse.ArgumentParser(prog="faults.proof")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("breaks", nargs="*", default=list(breaks.BREAKS))
    options = parser.parse_args()
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        shown = list(
            pool.map(lambda name: _shown(name, options.seed), options.breaks)
        )
    return 0 if all(shown) else 1


def _shown(name: str, seed: int) -> bool:
    entry = breaks.BREAKS[name]
    cell = cells.find(entry.cell)
    with_break = cells.run(cell, seed, broken=name)
    without = cells.run(cell, seed)
    caught = _reports(with_break, entry)
    kept = not _reports(without, entry) and not without.setup
    print(
        f"{entry.promise.value:4} {name:24} {entry.cell:32} "
        f"{'caught' if caught else 'MISSED'}, without the break "
        f"{'kept' if kept else 'BROKEN'}",
        flush=True,
    )
    return caught and kept


def _reports(verdict: cells.Verdict, entry: breaks.Break) -> bool:
    return any(v.promise is entry.promise for v in verdict.violations)


if __name__ == "__main__":
    sys.exit(main())
