"""The ``turmerichook-scheduler`` program: a scheduler's command line."""

import sys

from turmerichook._internal.cli import daemons
from turmerichook._internal.scheduling import daemon


def main() -> int:
    """Run the scheduler and return its exit status."""
    return daemons.main(
        program="turmerichook-scheduler",
        description="Place tasks on workers.",
        build=lambda settings, clock: daemon.SchedulerDaemon(
            settings=settings, clock=clock
        ),
        arguments=sys.argv[1:],
    )


if __name__ == "__main__":
    sys.exit(main())
