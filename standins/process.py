"""Entry point shared by the stand-in programs."""

import asyncio
import signal
import typing


def run(main: typing.Coroutine) -> None:
    """Run a program's main coroutine until SIGTERM or SIGINT."""
    asyncio.run(_run(main))


async def _run(main: typing.Coroutine) -> None:
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        # Stand-ins are normally ended by a signal, which cancels the task.
        pass
