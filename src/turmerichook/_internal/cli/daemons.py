"""Entry of a daemon: parses its one argument and runs it until a signal.

``argparse`` serves here, since importing ``cyclopts`` costs 4 MB of the 32 MB
that a daemon may hold.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.logs import events
from turmerichook._internal.logs import setup as logs
from turmerichook._internal import settings as settings_module
from turmerichook import exceptions


class Daemon(typing.Protocol):
    """What a daemon's module provides."""

    async def run(self) -> None:
        """Run until cancelled."""


Build = typing.Callable[[settings_module.Settings, clocks.Clock], Daemon]


def main(
    *, program: str, description: str, build: Build, arguments: list[str]
) -> int:
    """Run a daemon and return its exit status."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        "settings", type=pathlib.Path, help="path of the settings file"
    )
    path = parser.parse_args(arguments).settings
    try:
        settings = settings_module.load(path)
    except exceptions.SettingsError as error:
        print(f"{program}: {error}\nhint: {error.hint}", file=sys.stderr)
        return error.exit_status
    logs.configure(
        node=settings.node,
        style=settings.log_style,
        level=settings.log_level,
    )
    logs.emit(
        events.ProcessEvent.STARTED,
        program=program,
        zone=settings.zone,
        listen=settings.listen,
        settings=path,
    )
    daemon = build(settings, clocks.SystemClock())
    try:
        asyncio.run(_run(daemon))
    except OSError as error:
        # A listener's address is in use or does not exist.
        logs.emit(events.ProcessEvent.FAILED, error=error)
        return exceptions.EXIT_FAILURE
    except BaseExceptionGroup as group:
        for error in _leaves(group):
            logs.emit(events.ProcessEvent.FAILED, error=repr(error))
        raise
    logs.emit(events.ProcessEvent.STOPPED)
    return 0


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _leaves(error)
        else:
            found.append(error)
    return found


async def _run(daemon: Daemon) -> None:
    task = asyncio.create_task(daemon.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        # A signal asked for a planned stop, and the daemon has ended it.
        pass
