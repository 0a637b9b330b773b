"""Start-up that the stand-in programs share."""

import asyncio
import signal
import typing


def run(main: typing.Coroutine) -> None:
    """Run a program's coroutine until SIGTERM or SIGINT."""
    asyncio.run(_run(main))


async def _run(main: typing.Coroutine) -> None:
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        # The signal is the usual way to end a stand-in.
        pass
