"""The scheduler process: a candidate for each zone, and its owners."""

import asyncio
import datetime
import time

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import messages as config_messages
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.membership import messages as member_messages
from turmerichook._internal.models import ids
from turmerichook._internal.platform import hosts_http
from turmerichook._internal.platform import store_http
from turmerichook._internal.platform import workers_http
from turmerichook._internal.scheduling import environment as environments
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import tenures
from turmerichook._internal import settings as settings_module
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs

STREAM_TYPES = (
    member_messages.Hello,
    member_messages.Heartbeat,
    config_messages.GenerationBundle,
    messages.EndpointTable,
    messages.ZoneStatus,
    messages.ZoneReleased,
)
FLUSH_TIME = datetime.timedelta(milliseconds=100)


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
        self.peers = environments.Peers()
        self.hub = hubs.Hub(
            codec=codec.Codec(types=STREAM_TYPES),
            clock=clock,
            peers=settings.peers,
            greeting=self._greeting,
        )
        self.server = server.Server(handler=self._handle)
        self.tenures: dict[ids.ZoneId, tenures.Tenures] = {}
        self.environment = environments.Environment(
            node=settings.node,
            store=self.store,
            pool=self.pool,
            host_list=self.host_list,
            clock=clock,
            configuration=lambda: self.subscription.configuration,
            publish=self._publish,
            peers=self.peers,
        )

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
            await asyncio.gather(*(t.stop() for t in self.tenures.values()))
            # Lets the links send what the candidates published last.
            await self.clock.sleep(FLUSH_TIME)
            self.hub.stop()
            await self.server.stop(grace=1.0)

    def _add_candidates(self) -> None:
        for zone in self.subscription.configuration.zones:
            if zone not in self.tenures:
                self._add_candidate(zone)

    def _add_candidate(self, zone: ids.ZoneId) -> None:
        candidate = ownership.Candidate(
            zone=zone,
            node=self.settings.node,
            address=self.settings.peer_listen,
            foreign=zone != self.settings.zone,
            store=self.store,
            clock=self.clock,
            confirm=self.subscription.read,
        )
        self.tenures[zone] = tenures.Tenures(
            candidate=candidate, environment=self.environment
        )
        self.tenures[zone].start()

    def _publish(self, message: object) -> None:
        if isinstance(message, messages.EndpointTable):
            former = self.peers.tables.get(message.zone)
            self.peers.tables[message.zone] = message
            if (
                former is not None
                and former.epoch == message.epoch
                and former.endpoints == message.endpoints
            ):
                return
        if isinstance(message, messages.ZoneStatus):
            self.peers.statuses[message.zone] = message
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
        greeting += self.peers.tables.values()
        return greeting

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            self._take(received.message)

    def _take(self, message: object) -> None:
        match message:
            case config_messages.GenerationBundle():
                self.subscription.offer(message)
            case messages.EndpointTable():
                self._heard_epoch(message.zone, message.epoch, "a peer")
                known = self.peers.tables.get(message.zone)
                version = (message.epoch, message.sequence)
                if known is None or version > (known.epoch, known.sequence):
                    self.peers.tables[message.zone] = message
            case messages.ZoneStatus():
                self._heard_epoch(message.zone, message.epoch, message.owner)
                self.peers.statuses[message.zone] = message
            case messages.ZoneReleased():
                tenure = self.tenures.get(ids.ZoneId(message.zone))
                if tenure is not None:
                    tenure.heard_release(message)
            case member_messages.Heartbeat():
                for zone, epoch in message.owned.items():
                    self._heard_epoch(zone, epoch, message.node)

    def _heard_epoch(self, zone: str, epoch: int, source: str) -> None:
        tenure = self.tenures.get(ids.ZoneId(zone))
        if tenure is not None:
            tenure.heard_epoch(epoch, source)

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
            "owned": {
                zone: tenure.owner.epoch
                for zone, tenure in self.tenures.items()
                if tenure.owner is not None
            },
        }
