"""The ``turmerichook-gateway`` program: the command line of a gateway."""

import sys

from turmerichook._internal.cli import daemons
from turmerichook._internal.routing import daemon


def main() -> int:
    """Run the gateway and return its exit status."""
    return daemons.main(
        program="turmerichook-gateway",
        description="Relay callers' requests to service endpoints.",
        build=lambda settings, clock: daemon.GatewayDaemon(
            settings=settings, clock=clock
        ),
        arguments=sys.argv[1:],
    )


if __name__ == "__main__":
    sys.exit(main())
