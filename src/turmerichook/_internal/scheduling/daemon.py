"""The scheduler process: a candidate for each zone, and its owners."""

import asyncio
import urllib.parse

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import member as members
from turmerichook._internal.membership import metrics as member_metrics
from turmerichook._internal.metrics import registry
from turmerichook._internal.metrics import timed_store
from turmerichook._internal.models import ids
from turmerichook._internal.platform import hosts_http
from turmerichook._internal.platform import store_http
from turmerichook._internal.platform import workers_http
from turmerichook._internal.scheduling import events
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import operator_calls
from turmerichook._internal.scheduling import owner as owners
from turmerichook._internal.scheduling import ownership
from turmerichook._internal import settings as settings_module
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs
from turmerichook import exceptions

STREAM_TYPES = (
    *members.TYPES,
    messages.EndpointTable,
    messages.ZoneStatus,
)


class SchedulerDaemon:
    """Everything that one scheduler process runs."""

    def __init__(
        self, *, settings: settings_module.Settings, clock: clocks.Clock
    ):
        self.settings = settings
        self.clock = clock
        host, port = addresses.split(settings.store)
        self.metrics = registry.Registry()
        self.store = timed_store.TimedStore(
            store=store_http.HttpStore(host=host, port=port),
            registry=self.metrics,
        )
        host, port = addresses.split(settings.hosts)
        self.host_list = hosts_http.HttpHostList(host=host, port=port)
        self.pool = workers_http.HttpWorkerPool()
        self.subscription = distribution.Subscription(
            store=self.store, clock=clock, held=True
        )
        self.member = members.Member(
            settings=settings,
            role="scheduler",
            store=self.store,
            clock=clock,
            subscription=self.subscription,
            owned=lambda: {z: t.epoch for z, t in self.owned.items()},
        )
        self.tables: dict[str, messages.EndpointTable] = {}
        self.hub = hubs.Hub(
            codec=codec.Codec(types=STREAM_TYPES),
            clock=clock,
            greeting=self._greeting,
            **members.hub_peers(settings),
        )
        self.server = server.Server(handler=self._handle)
        self.candidates: dict[ids.ZoneId, asyncio.Task] = {}
        self.owned: dict[ids.ZoneId, ownership.Tenure] = {}
        self.owners: dict[ids.ZoneId, owners.Owner] = {}
        self.histories: dict[ids.ZoneId, operator_calls.QueueHistory] = {}

    async def run(self) -> None:
        """Run until cancelled, then give up what is owned."""
        host, port = addresses.split(self.settings.listen)
        await self.server.start(host=host, port=port)
        await self.hub.start(self.settings.peer_listen)
        self.subscription.listeners.append(lambda _: self._add_candidates())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.member.run(self.hub))
                group.create_task(self._receive())
                group.create_task(self._sample_queues())
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
                self.owners.pop(zone, None)
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
        self.owners[candidate.zone] = owner
        self.histories[candidate.zone] = operator_calls.QueueHistory()
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
        return self.member.greeting() + [
            self.tables[zone] for zone in self.owned if zone in self.tables
        ]

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            if self.member.receive(received):
                continue
            match received.message:
                case messages.EndpointTable(epoch=epoch, sequence=sequence):
                    self.member.relay(received, (epoch, sequence))

    async def _sample_queues(self) -> None:
        while True:
            for zone, owner in self.owners.items():
                self.histories[zone].add(owner.state)
            await self.clock.sleep(operator_calls.SAMPLE_INTERVAL)

    async def _handle(self, exchange: server.Exchange) -> None:
        match exchange.head.path:
            case "/healthz":
                await exchange.respond_json(document={"status": "ok"})
            case "/metrics":
                await self._metrics(exchange)
            case "/v1/explain":
                await self._explain(exchange)
            case "/v1/members":
                await exchange.respond_json(document=self.member.document())
            case "/v1/status":
                await exchange.respond_json(document=self._status())
            case _:
                await exchange.respond_json(
                    document={"code": "not-found"}, status=404
                )

    async def _metrics(self, exchange: server.Exchange) -> None:
        member_metrics.collect(self.metrics, self.member)
        for name in operator_calls.GAUGES:
            self.metrics.clear(f"zone_{name}")
        now = self.clock.monotonic()
        for zone, owner in self.owners.items():
            document = operator_calls.queue_document(
                owner.state, self.histories[zone], now
            )
            for name in operator_calls.GAUGES:
                self.metrics.set(f"zone_{name}", document[name], zone=zone)
        await exchange.respond(
            status=200,
            body=self.metrics.render().encode(),
            content_type=registry.CONTENT_TYPE,
        )

    async def _explain(self, exchange: server.Exchange) -> None:
        query = urllib.parse.parse_qs(exchange.head.query)
        name = query.get("task", [""])[0]
        now = self.clock.monotonic()
        for zone, owner in self.owners.items():
            found = operator_calls.explain_document(owner.state, name, now)
            if found is not None:
                await exchange.respond_json(document={"zone": zone, **found})
                return
        await exchange.respond_json(
            document={"code": "task-not-found"}, status=404
        )

    def _status(self) -> dict:
        now = self.clock.monotonic()
        return {
            "zones": {
                zone: operator_calls.queue_document(
                    owner.state, self.histories[zone], now
                )
                for zone, owner in self.owners.items()
            },
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
