"""One scheduler's way through claims, tenures and step-downs of a zone."""

import asyncio
import collections.abc
import dataclasses
import datetime

from turmerichook._internal.logs import setup as logs
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import authority as authorities
from turmerichook._internal.scheduling import environment as environments
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import owner as owners
from turmerichook._internal.scheduling import ownership
from turmerichook import exceptions

KEEP_INTERVAL = datetime.timedelta(seconds=1)
# Leaves time for another scheduler to claim a zone that this one cannot run.
FAILURE_DELAY = datetime.timedelta(seconds=5)
RELEASES_KEPT = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heard:
    """A release and when it was received."""

    message: messages.ZoneReleased
    received: datetime.timedelta


class Tenures:
    """Claims one zone again and again, and runs it while it is owned."""

    def __init__(
        self,
        *,
        candidate: ownership.Candidate,
        environment: environments.Environment,
    ):
        self.candidate = candidate
        self.zone = candidate.zone
        self.environment = environment
        self.clock = environment.clock
        self.owner: owners.Owner | None = None
        # The owner of an earlier tenure whose links still renew the tasks.
        self.former: owners.Owner | None = None
        self.releases: dict[int, Heard] = {}
        self.task: asyncio.Task | None = None
        self.stopping = False

    def start(self) -> None:
        """Begin to claim the zone."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Hand the zone over, and end."""
        self.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while True:
                tenure = await self._gain()
                await self._own(tenure)
        finally:
            self._end_former()

    def heard_epoch(self, epoch: int, source: str) -> None:
        """Step down if somebody has a later epoch for the zone."""
        for owner in (self.owner, self.former):
            if owner is not None and owner.epoch < epoch:
                owner.superseded(source)

    def heard_release(self, message: messages.ZoneReleased) -> None:
        """Note that a former owner has stopped renewing."""
        if message.epoch in self.releases:
            return
        heard = Heard(message=message, received=self.clock.monotonic())
        self.releases[message.epoch] = heard
        while len(self.releases) > RELEASES_KEPT:
            del self.releases[min(self.releases)]
        if self.owner is not None:
            self.owner.released(message, heard.received)

    async def _gain(self) -> ownership.Tenure:
        if self.former is None:
            return await self.candidate.gain()
        keeper = asyncio.create_task(self._keep_renewals(self.former))
        try:
            return await self.candidate.gain()
        finally:
            keeper.cancel()
            self._end_former()

    async def _own(self, tenure: ownership.Tenure) -> None:
        owner = owners.Owner(tenure=tenure, environment=self.environment)
        for heard in self.releases.values():
            owner.released(heard.message, heard.received)
        self.owner = owner
        failed = False
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.candidate.keep(tenure))
                group.create_task(owner.run())
        except Exception as error:
            failed = self._lost(owner, error)
        finally:
            self.owner = None
            if self.former is not owner:
                self._released(owner)
            await self._give_up(tenure)
        if self.stopping:
            # A task group that ends by an error drops a cancellation that
            # came at the same time.
            raise asyncio.CancelledError
        if failed:
            await self.clock.sleep(FAILURE_DELAY)

    def _lost(self, owner: owners.Owner, error: Exception) -> bool:
        """Decide whether renewals go on; True if this process is at fault."""
        causes = list(_leaves(error))
        stale = any(isinstance(c, exceptions.StaleEpochError) for c in causes)
        known = all(
            isinstance(c, exceptions.TurmerichookError) for c in causes
        )
        unreadable = any(
            isinstance(c, exceptions.JournalUnreadableError) for c in causes
        )
        event = (
            events.SchedulingEvent.OWNERSHIP_LOST
            if known
            else events.SchedulingEvent.OWNER_FAILED
        )
        if unreadable:
            event = events.SchedulingEvent.JOURNAL_UNREADABLE
        logs.emit(
            event,
            zone=self.zone,
            epoch=owner.epoch,
            error="; ".join(repr(c) for c in causes),
        )
        if not stale:
            # Nobody else is known to own the zone, so its running tasks are
            # kept alive until somebody does.
            self.former = owner
            logs.emit(
                events.SchedulingEvent.RENEWALS_KEPT,
                zone=self.zone,
                epoch=owner.epoch,
            )
        return unreadable or not known

    async def _keep_renewals(self, former: owners.Owner) -> None:
        """Let a former owner's links renew until a later owner is known."""
        lost = self.clock.monotonic()
        confirmed = former.tenure.authority.last_confirmed or lost
        while not await self._superseded(former):
            age = self.clock.monotonic() - confirmed
            if age > authorities.UNCONFIRMED_RENEWAL_LIMIT:
                break
            await self.clock.sleep(KEEP_INTERVAL)
        self._end_former()

    async def _superseded(self, former: owners.Owner) -> bool:
        while not former.inbox.empty():
            if isinstance(former.inbox.get_nowait(), links.Superseded):
                return True
        try:
            found = await self.environment.store.get(
                ownership.owner_key(self.zone)
            )
            if isinstance(found, outcomes.Absent):
                return False
            return ownership.unpack(found.value).epoch > former.epoch
        except exceptions.TurmerichookError:
            return False

    def _end_former(self) -> None:
        if self.former is not None:
            self._released(self.former)
            self.former = None

    def _released(self, owner: owners.Owner) -> None:
        """Stop an owner's renewals and tell its successors."""
        owner.close()
        message = owner.release()
        self.heard_release(message)
        self.environment.publish(message)
        logs.emit(
            events.SchedulingEvent.ZONE_RELEASED,
            zone=self.zone,
            epoch=owner.epoch,
            workers=len(message.ages),
        )

    async def _give_up(self, tenure: ownership.Tenure) -> None:
        try:
            await self.candidate.release(tenure)
        except exceptions.TurmerichookError:
            # The lease lapses by itself.
            pass


def _leaves(error: BaseException) -> collections.abc.Iterator[BaseException]:
    """Yield the errors of a group that may hold further groups."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _leaves(inner)
    else:
        yield error
