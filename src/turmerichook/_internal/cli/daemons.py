"""Parses a daemon's command line and runs the daemon until a signal.

This module uses ``argparse`` because importing ``cyclopts`` takes 4 MB of the
32 MB of memory that a daemon is limited to.
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
    """Interface of the daemons that this module runs."""

    async def run(self) -> None:
        """Run until cancelled."""


DaemonFactory = typing.Callable[
    [settings_module.Settings, clocks.Clock], Daemon
]


def main(
    *,
    program: str,
    description: str,
    build: DaemonFactory,
    arguments: list[str],
) -> int:
    """Build and run a daemon, and return its exit status.

    :param program: name of the program in usage and error messages.
    :param build: returns the daemon for its settings and clock.
    :param arguments: command line without the program's name.
    """
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
        # The listen address is in use or not configured on this host.
        logs.emit(events.ProcessEvent.FAILED, error=error)
        return exceptions.EXIT_FAILURE
    except BaseExceptionGroup as group:
        for error in _leaf_errors(group):
            logs.emit(events.ProcessEvent.FAILED, error=repr(error))
        raise
    logs.emit(events.ProcessEvent.STOPPED)
    return 0


def _leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    leaves: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves += _leaf_errors(error)
        else:
            leaves.append(error)
    return leaves


async def _run(daemon: Daemon) -> None:
    task = asyncio.create_task(daemon.run())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        # SIGTERM or SIGINT cancelled the task, and the daemon has completed
        # its planned stop.
        pass
