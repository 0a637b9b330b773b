"""Starts a daemon with one deliberate break.

``python -m faults.broken BREAK KIND SETTINGS`` replaces a part of the product
in memory and then runs the daemon, so that the checker can be shown to catch
the break. The product's own files hold no trace of it.
"""

import importlib
import sys

from faults import breaks


def main() -> int:
    """Apply the break and run the daemon."""
    name, kind, settings = sys.argv[1:4]
    breaks.BREAKS[name].apply()
    sys.argv = [kind, settings]
    module = importlib.import_module(f"turmerichook._internal.cli.{kind}")
    return module.main()


if __name__ == "__main__":
    sys.exit(main())
