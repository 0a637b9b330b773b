"""The ``turmerichook-entry`` program: one process on each entry host."""

import signal
import sys


def _stop_early(number: int, frame: object) -> None:
    """End at once: nothing has been taken on yet."""
    sys.exit(0)


# A signal may come while the slow imports are still running, and by default
# both would end the process as a failure.
signal.signal(signal.SIGTERM, _stop_early)
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Run the entry process and return its exit status."""
    from turmerichook._internal.cli import entry_process

    return entry_process.main()


if __name__ == "__main__":
    sys.exit(main())
