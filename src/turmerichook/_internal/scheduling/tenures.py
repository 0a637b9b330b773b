"""One scheduler's repeated claims and tenures of a zone.

A tenure begins with a successful claim and ends when the ownership is lost or
given up. Then the scheduler claims the zone again.
"""

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

# How often a former owner that still renews leases checks for a successor.
SUCCESSOR_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# Delay before this scheduler claims a zone again after its owner failed, so
# that another scheduler can claim the zone first.
FAILURE_DELAY = datetime.timedelta(seconds=5)
# Number of release messages kept, one for each of the latest epochs.
MAX_RELEASES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedRelease:
    """A release message and when it was received, on this process's clock."""

    message: messages.ZoneReleased
    received: datetime.timedelta


class Tenures:
    """Claims one zone repeatedly, and runs its owner during each tenure.

    ``owner`` is the owner of the current tenure, None between tenures.
    """

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
        # The owner of an earlier tenure whose links still renew the leases of
        # the zone's tasks.
        self.former_owner: owners.Owner | None = None
        self.releases: dict[int, ReceivedRelease] = {}
        self.task: asyncio.Task | None = None
        self.stopping = False

    def start(self) -> None:
        """Start claiming the zone in the background."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Give up the zone, and stop claiming it."""
        self.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while True:
                tenure = await self._acquire()
                await self._run_tenure(tenure)
        finally:
            self._end_former_renewals()

    def note_epoch(self, epoch: int, source: str) -> None:
        """End tenures and renewals of an epoch lower than ``epoch``.

        :param source: worker or peer that reported ``epoch``.
        """
        for owner in (self.owner, self.former_owner):
            if owner is not None and owner.epoch < epoch:
                owner.note_superseded(source)

    def note_release(self, message: messages.ZoneReleased) -> None:
        """Record that a former owner has stopped renewing task leases."""
        if message.epoch in self.releases:
            return
        release = ReceivedRelease(
            message=message, received=self.clock.monotonic()
        )
        self.releases[message.epoch] = release
        while len(self.releases) > MAX_RELEASES:
            del self.releases[min(self.releases)]
        if self.owner is not None:
            self.owner.note_release(message, release.received)

    async def _acquire(self) -> ownership.Tenure:
        if self.former_owner is None:
            return await self.candidate.acquire()
        renewal_task = asyncio.create_task(
            self._keep_renewals(self.former_owner)
        )
        try:
            return await self.candidate.acquire()
        finally:
            renewal_task.cancel()
            self._end_former_renewals()

    async def _run_tenure(self, tenure: ownership.Tenure) -> None:
        owner = owners.Owner(tenure=tenure, environment=self.environment)
        for release in self.releases.values():
            owner.note_release(release.message, release.received)
        self.owner = owner
        failed = False
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.candidate.keep_renewed(tenure))
                group.create_task(owner.run())
        except Exception as error:
            failed = self._handle_failure(owner, error)
        finally:
            self.owner = None
            if self.former_owner is not owner:
                self._release_zone(owner)
            await self._give_up(tenure)
        if self.stopping:
            # A task group that ends with an error discards a cancellation
            # that arrives at the same time.
            raise asyncio.CancelledError
        if failed:
            await self.clock.sleep(FAILURE_DELAY)

    def _handle_failure(self, owner: owners.Owner, error: Exception) -> bool:
        """Log why a tenure ended, and decide whether renewals continue.

        Returns True if the failure lies with this process, which then has to
        wait before the next claim: the journal cannot be decoded, or the error
        is none of the expected ones.
        """
        causes = list(_single_errors(error))
        stale = any(isinstance(c, exceptions.StaleEpochError) for c in causes)
        expected = all(
            isinstance(c, exceptions.TurmerichookError) for c in causes
        )
        unreadable = any(
            isinstance(c, exceptions.JournalUnreadableError) for c in causes
        )
        event = (
            events.SchedulingEvent.OWNERSHIP_LOST
            if expected
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
            # No other owner of the zone is known, so the leases of its running
            # tasks are renewed until there is one.
            self.former_owner = owner
            logs.emit(
                events.SchedulingEvent.RENEWALS_KEPT,
                zone=self.zone,
                epoch=owner.epoch,
            )
        return unreadable or not expected

    async def _keep_renewals(self, former: owners.Owner) -> None:
        """Let a former owner's links renew leases until it has a successor."""
        lost_at = self.clock.monotonic()
        confirmed = former.tenure.authority.last_confirmed or lost_at
        while not await self._has_successor(former):
            age = self.clock.monotonic() - confirmed
            if age > authorities.UNCONFIRMED_RENEWAL_LIMIT:
                break
            await self.clock.sleep(SUCCESSOR_CHECK_INTERVAL)
        self._end_former_renewals()

    async def _has_successor(self, former: owners.Owner) -> bool:
        while not former.inbox.empty():
            if isinstance(former.inbox.get_nowait(), links.OwnerSuperseded):
                return True
        try:
            entry = await self.environment.store.get(
                ownership.owner_key(self.zone)
            )
            if isinstance(entry, outcomes.Absent):
                return False
            return ownership.unpack(entry.value).epoch > former.epoch
        except exceptions.TurmerichookError:
            return False

    def _end_former_renewals(self) -> None:
        if self.former_owner is not None:
            self._release_zone(self.former_owner)
            self.former_owner = None

    def _release_zone(self, owner: owners.Owner) -> None:
        """Stop an owner's lease renewals and publish its release message."""
        owner.close()
        message = owner.release_message()
        self.note_release(message)
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


def _single_errors(
    error: BaseException,
) -> collections.abc.Iterator[BaseException]:
    """Yield the single errors of an exception group and its subgroups."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _single_errors(inner)
    else:
        yield error
