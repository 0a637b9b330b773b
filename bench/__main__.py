"""Run all measurements, or those whose module names are given.

``python -m bench [measure_placement ...]`` runs ``bench/measure_*.py``. Each
module has a function ``run()`` that returns a list of ``results.Result``.
"""

import dataclasses
import importlib
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "build" / "bench.json"


def main(names: list[str]) -> None:
    """Run measurements, print their lines and write the JSON file."""
    if not names:
        found = sorted((ROOT / "bench").glob("measure_*.py"))
        names = [path.stem for path in found]
    rows = []
    for name in names:
        module = importlib.import_module(f"bench.{name}")
        for result in module.run():
            print(result.line(), flush=True)
            row = {**dataclasses.asdict(result), "ratio": result.ratio}
            rows.append({"module": name, **row})
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
