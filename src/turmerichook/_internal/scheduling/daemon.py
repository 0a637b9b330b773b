"""The scheduler process: a candidate for each zone, and its owners."""

import asyncio
import time

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import messages as config_messages
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import messages as member_messages
from turmerichook._internal.models import ids
from turmerichook._internal.platform import hosts_http
from turmerichook._internal.platform import store_http
from turmerichook._internal.platform import workers_http
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import owner as owners
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import stream_types
from turmerichook._internal import settings as settings_module
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs
from turmerichook import exceptions

STREAM_TYPES = stream_types.STREAM_TYPES


class SchedulerDaemon:
    """Everything that one scheduler process runs."""

    def __init__(
        self, *, settings: settings_module.Settings, clock: clocks.Clock
    ):
        self.settings = settings
        self.clock = clock
        host, port = addresses.split(settings.store)
        self.store = store_http.HttpStore(host=host, port=port)
        host, port = addresses.split(settings.hosts)
        self.host_list = hosts_http.HttpHostList(host=host, port=port)
        self.pool = workers_http.HttpWorkerPool()
        self.subscription = distribution.Subscription(
            store=self.store, clock=clock
        )
        self.tables: dict[str, messages.EndpointTable] = {}
        self.hub = hubs.Hub(
            codec=codec.Codec(types=STREAM_TYPES),
            clock=clock,
            peers=settings.peers,
            greeting=self._greeting,
        )
        self.server = server.Server(handler=self._handle)
        self.candidates: dict[ids.ZoneId, asyncio.Task] = {}
        self.owned: dict[ids.ZoneId, ownership.Tenure] = {}

    async def run(self) -> None:
        """Run until cancelled, then give up what is owned."""
        host, port = addresses.split(self.settings.listen)
        await self.server.start(host=host, port=port)
        await self.hub.start(self.settings.peer_listen)
        self.subscription.listeners.append(lambda _: self._add_candidates())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.subscription.run())
                group.create_task(self._receive())
        finally:
            for task in self.candidates.values():
                task.cancel()
            await asyncio.gather(
                *self.candidates.values(), return_exceptions=True
            )
            self.hub.stop()
            await self.server.stop(grace=1.0)

    def _add_candidates(self) -> None:
        for zone in self.subscription.configuration.zones:
            if zone not in self.candidates:
                task = asyncio.create_task(self._candidate(zone))
                self.candidates[zone] = task

    async def _candidate(self, zone: ids.ZoneId) -> None:
        candidate = ownership.Candidate(
            zone=zone,
            node=self.settings.node,
            address=self.settings.peer_listen,
            foreign=zone != self.settings.zone,
            store=self.store,
            clock=self.clock,
            confirm=self.subscription.read,
        )
        while True:
            tenure = await candidate.gain()
            self.owned[zone] = tenure
            try:
                await self._own(candidate, tenure)
            except* exceptions.TurmerichookError as group:
                logs.emit(
                    events.SchedulingEvent.OWNERSHIP_LOST,
                    zone=zone,
                    epoch=tenure.epoch,
                    error=group.exceptions[0],
                )
            finally:
                del self.owned[zone]
                await _release(candidate, tenure)

    async def _own(
        self, candidate: ownership.Candidate, tenure: ownership.Tenure
    ) -> None:
        owner = owners.Owner(
            tenure=tenure,
            node=self.settings.node,
            store=self.store,
            pool=self.pool,
            host_list=self.host_list,
            clock=self.clock,
            configuration=lambda: self.subscription.configuration,
            publish=self._publish,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(candidate.keep(tenure))
            group.create_task(owner.run())

    def _publish(self, message: object) -> None:
        if isinstance(message, messages.EndpointTable):
            former = self.tables.get(message.zone)
            self.tables[message.zone] = message
            if (
                former is not None
                and former.epoch == message.epoch
                and former.endpoints == message.endpoints
            ):
                return
        self.hub.publish(message)

    def _greeting(self) -> list[object]:
        hello = member_messages.Hello(
            node=self.settings.node,
            role="scheduler",
            zone=self.settings.zone,
            incarnation=time.time_ns() // 1_000_000,
        )
        greeting: list[object] = [hello]
        if self.subscription.packed is not None:
            greeting.append(self.subscription.packed)
        greeting += [
            self.tables[zone] for zone in self.owned if zone in self.tables
        ]
        return greeting

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            match received.message:
                case config_messages.GenerationBundle():
                    self.subscription.offer(received.message)

    async def _handle(self, exchange: server.Exchange) -> None:
        match exchange.head.path:
            case "/healthz":
                await exchange.respond_json(document={"status": "ok"})
            case "/v1/status":
                await exchange.respond_json(document=self._status())
            case _:
                await exchange.respond_json(
                    document={"code": "not-found"}, status=404
                )

    def _status(self) -> dict:
        return {
            "node": self.settings.node,
            "generation": self.subscription.generation,
            "owned": {z: t.epoch for z, t in self.owned.items()},
        }


async def _release(
    candidate: ownership.Candidate, tenure: ownership.Tenure
) -> None:
    try:
        await candidate.release(tenure)
    except exceptions.TurmerichookError:
        # The lease lapses by itself.
        pass
