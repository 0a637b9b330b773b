"""Starts a daemon with one injected defect.

``python -m faults.broken DEFECT KIND SETTINGS`` replaces a part of the product
in memory and then runs the daemon, to show that the history checker detects
the defect. The product's own files contain no code for these defects.
"""

import importlib
import sys

from faults import breaks


def main() -> int:
    """Apply the defect and run the daemon."""
    name, kind, settings = sys.argv[1:4]
    breaks.DEFECTS[name].apply()
    sys.argv = [kind, settings]
    module = importlib.import_module(f"turmerichook._internal.cli.{kind}")
    return module.main()


if __name__ == "__main__":
    sys.exit(main())
