"""Clock interface, system clock and manually advanced test clock."""

import asyncio
import datetime
import heapq
import time
import typing


MILLISECOND = datetime.timedelta(milliseconds=1)


# Doublings after which a pause no longer grows; more would overflow.
DOUBLINGS_MAX = 20


def doubled_pause(
    first: datetime.timedelta,
    failures: int,
    longest: datetime.timedelta,
) -> datetime.timedelta:
    """Return a pause that doubles with each earlier failure, up to a limit.

    :param failures: number of failures before the last one.
    """
    return min(first * 2 ** min(failures, DOUBLINGS_MAX), longest)


class Clock(typing.Protocol):
    """Source of time, passed to all code that reads the time or waits."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC.

        The time may be stepped, so it serves for display and records only.
        """

    def monotonic(self) -> datetime.timedelta:
        """Return a reading that never decreases, to measure intervals."""

    def uptime(self) -> datetime.timedelta:
        """Return a monotonic reading that includes suspended time."""

    def processor_time(self) -> datetime.timedelta:
        """Return the processor time that this process has used."""

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Suspend the calling task for ``delay``."""

    async def wait_event(
        self, event: asyncio.Event, limit: datetime.timedelta
    ) -> bool:
        """Wait up to ``limit`` for an event; return whether it is set."""


class SystemClock:
    """The operating system's clocks."""

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.timezone.utc)

    def monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=time.monotonic())

    def uptime(self) -> datetime.timedelta:
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def processor_time(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=time.process_time())

    async def sleep(self, delay: datetime.timedelta) -> None:
        await asyncio.sleep(delay.total_seconds())

    async def wait_event(
        self, event: asyncio.Event, limit: datetime.timedelta
    ) -> bool:
        # The leader waits several times for each start order that it sends.
        # ``asyncio.timeout`` creates no task for a wait, so that these
        # waits stay cheap.
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await event.wait()
        except TimeoutError:
            pass
        return event.is_set()


class ManualClock:
    """A clock whose time changes only when a test advances it."""

    def __init__(self, *, start: datetime.datetime | None = None):
        self.start = start or datetime.datetime(
            2026, 1, 1, tzinfo=datetime.timezone.utc
        )
        self.elapsed = datetime.timedelta()
        self.sleepers: list[tuple[datetime.timedelta, int, asyncio.Future]]
        self.sleepers = []
        self.sequence = 0

    def now(self) -> datetime.datetime:
        return self.start + self.elapsed

    def monotonic(self) -> datetime.timedelta:
        return self.elapsed

    def uptime(self) -> datetime.timedelta:
        return self.elapsed

    def processor_time(self) -> datetime.timedelta:
        return datetime.timedelta()

    async def sleep(self, delay: datetime.timedelta) -> None:
        future = asyncio.get_running_loop().create_future()
        self.sequence += 1
        entry = (self.elapsed + delay, self.sequence, future)
        heapq.heappush(self.sleepers, entry)
        await future

    def advance(self, delay: datetime.timedelta) -> None:
        """Advance the clock and wake the tasks whose sleep has ended."""
        self.elapsed += delay
        while self.sleepers and self.sleepers[0][0] <= self.elapsed:
            _, _, future = heapq.heappop(self.sleepers)
            if not future.done():
                future.set_result(None)

    async def wait_event(
        self, event: asyncio.Event, limit: datetime.timedelta
    ) -> bool:
        waiter = asyncio.ensure_future(event.wait())
        sleeper = asyncio.ensure_future(self.sleep(limit))
        try:
            await asyncio.wait(
                (waiter, sleeper), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiter.cancel()
            sleeper.cancel()
        return event.is_set()
