"""The ``turmerichook-gateway`` program."""

import sys

from turmerichook._internal.cli import openssl


def main() -> int:
    """Run the gateway and return its exit status."""
    openssl.leave_out()
    # Imported only now, since these import asyncio.
    from turmerichook._internal.cli import daemons
    from turmerichook._internal.routing import daemon

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
