"""Run the operators' command line with ``python -m turmerichook``."""

import sys

from turmerichook._internal.cli import operator

if __name__ == "__main__":
    sys.exit(operator.main())
