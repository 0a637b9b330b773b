"""Shows that the history checker detects each injected defect.

``python -m faults.proof [--seed N] [DEFECT...]`` runs the cell of each defect
twice, with and without the defect. The command exits with status 1 unless, for
every defect, the checker reports a violation of the defect's guarantee in the
first run and none in the second.
"""

import argparse
import concurrent.futures
import sys

from faults import breaks
from faults import cells

DEFAULT_JOBS = 3


def main() -> int:
    """Run the cells of the selected defects and return the exit status."""
    parser = argparse.ArgumentParser(prog="faults.proof")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("breaks", nargs="*", default=list(breaks.DEFECTS))
    options = parser.parse_args()
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(
            pool.map(
                lambda name: _is_detected(name, options.seed), options.breaks
            )
        )
    return 0 if all(results) else 1


def _is_detected(name: str, seed: int) -> bool:
    defect = breaks.DEFECTS[name]
    cell = cells.find(defect.cell)
    with_defect = cells.run(cell, seed, broken=name)
    without_defect = cells.run(cell, seed)
    detected = _reports_violation(with_defect, defect)
    guarantee_holds = (
        not _reports_violation(without_defect, defect)
        and not without_defect.setup
    )
    print(
        f"{defect.promise.value:4} {name:24} {defect.cell:32} "
        f"{'caught' if detected else 'MISSED'}, without the break "
        f"{'kept' if guarantee_holds else 'BROKEN'}",
        flush=True,
    )
    return detected and guarantee_holds


def _reports_violation(verdict: cells.Verdict, defect: breaks.Defect) -> bool:
    return any(v.promise is defect.promise for v in verdict.violations)


if __name__ == "__main__":
    sys.exit(main())
