"""The ``turmerichook-entry`` program: one process on each entry host."""

import signal
import sys


def _exit_during_startup(number: int, frame: object) -> None:
    """Exit with status 0: the process has not accepted any work yet."""
    sys.exit(0)


# SIGTERM or SIGHUP may arrive during the slow imports. The default action of
# both signals would terminate the process with a failure status.
signal.signal(signal.SIGTERM, _exit_during_startup)
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Run the entry process and return its exit status."""
    from turmerichook._internal.cli import entry_process

    return entry_process.main()


if __name__ == "__main__":
    sys.exit(main())
