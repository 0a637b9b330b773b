"""Configures logging and signal handlers, and runs the entry daemon."""

import asyncio
import os
import pathlib
import signal
import sys

from turmerichook._internal import clock as clocks
from turmerichook._internal.intake import daemon as daemons
from turmerichook._internal.logs import events
from turmerichook._internal.logs import output
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import policy as policies
from turmerichook._internal.platform import adapter as adapters
from turmerichook._internal.platform import settings_file
from turmerichook._internal import policy_file
from turmerichook import exceptions

PROGRAM = "turmerichook-entry"


def main() -> int:
    """Run until a planned stop and return the exit status."""
    path = os.environ.get(settings_file.PATH_VARIABLE, "")
    if len(sys.argv) > 1:
        path = sys.argv[1]
    try:
        return asyncio.run(_run(pathlib.Path(path)))
    except exceptions.SettingsError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return error.exit_status


async def _run(path: pathlib.Path) -> int:
    policy = policies.DEFAULT
    if policy_path := os.environ.get(policy_file.PATH_VARIABLE):
        policy = policy_file.load(pathlib.Path(policy_path))
    daemon = daemons.EntryDaemon(
        path=path,
        adapter=adapters.bundle(),
        clock=clocks.SystemClock(),
        policy=policy,
    )
    loop = asyncio.get_running_loop()
    daemons.install_signal_handlers(daemon, loop, signal)
    logs.configure(
        node=daemon.settings.node,
        style=logs.JSON,
        level="INFO",
        sink=output.StandardOutput(),
    )
    logs.emit(
        events.ProcessEvent.STARTED,
        program=PROGRAM,
        zone=daemon.settings.zone,
        listen=daemon.settings.listen,
        store=daemon.settings.store,
    )
    try:
        await daemon.run()
    except Exception as error:
        logs.emit(events.ProcessEvent.FAILED, error=repr(error))
        raise
    logs.emit(events.ProcessEvent.STOPPED)
    return 0
