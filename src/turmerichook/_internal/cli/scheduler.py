"""The ``turmerichook-scheduler`` program."""

import sys

from turmerichook._internal.cli import openssl


def main() -> int:
    """Run the scheduler and return its exit status."""
    openssl.leave_out()
    # Imported only now, since these import asyncio.
    from turmerichook._internal.cli import daemons
    from turmerichook._internal.scheduling import daemon

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
