"""The scheduler process.

It is a candidate for the ownership of each zone, and runs an owner for each
zone that it has gained.
"""

import asyncio
import datetime
import urllib.parse

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.membership import documents as member_documents
from turmerichook._internal.membership import member as members
from turmerichook._internal.membership import messages as member_messages
from turmerichook._internal.membership import metrics as member_metrics
from turmerichook._internal.metrics import registry
from turmerichook._internal.metrics import timed_store
from turmerichook._internal.models import ids
from turmerichook._internal.providers import hosts_http
from turmerichook._internal.providers import store_http
from turmerichook._internal.providers import workers_http
from turmerichook._internal.scheduling import environment as environments
from turmerichook._internal.scheduling import messages
from turmerichook._internal.scheduling import operator_calls
from turmerichook._internal.scheduling import owner as owners
from turmerichook._internal.scheduling import ownership
from turmerichook._internal.scheduling import tenures
from turmerichook._internal import settings as settings_module
from turmerichook._internal import stream_types
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs

# Interval at which an unchanged endpoint table is confirmed to gateways.
CONFIRM_INTERVAL = datetime.timedelta(seconds=5)
# Time for which a stopping process keeps its connections open, so that the
# last messages are sent.
FLUSH_DELAY = datetime.timedelta(milliseconds=100)


class SchedulerDaemon:
    """Owners, connections and HTTP server of one scheduler process."""

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
            owned=lambda: {z: o.epoch for z, o in self.owned_zones().items()},
        )
        self.peers = environments.Peers()
        # For each zone the sequence number of the last endpoint table sent,
        # and when it was sent or last confirmed.
        self.last_published: dict[str, tuple[int, datetime.timedelta]] = {}
        self.hub = hubs.Hub(
            codec=codec.Codec(types=stream_types.STREAM_TYPES),
            clock=clock,
            greeting=self._greeting,
            **members.hub_peers(settings),
        )
        self.server = server.Server(handler=self._handle)
        self.queue_histories: dict[
            ids.ZoneId, operator_calls.QueueHistory
        ] = {}
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
        """Run until cancelled, then release all owned zones."""
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
            await asyncio.gather(*(t.stop() for t in self.tenures.values()))
            # The owners publish their releases when they stop; the hub needs
            # time to send these messages.
            await self.clock.sleep(FLUSH_DELAY)
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
            in_other_zone=zone != self.settings.zone,
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
            self._publish_table(message)
            return
        if isinstance(message, messages.ZoneStatus):
            self.peers.statuses[message.zone] = message
            self.hub.publish(message, wanted=members.is_scheduler)
            return
        self.hub.publish(message)

    def _publish_table(self, table: messages.EndpointTable) -> None:
        previous = self.peers.tables.get(table.zone)
        self.peers.tables[table.zone] = table
        now = self.clock.monotonic()
        if (
            previous is None
            or previous.epoch != table.epoch
            or previous.endpoints != table.endpoints
        ):
            self.last_published[table.zone] = (table.sequence, now)
            self.hub.publish(table)
            return
        sequence, last_sent = self.last_published.get(table.zone, (0, now))
        if now - last_sent >= CONFIRM_INTERVAL:
            self.last_published[table.zone] = (sequence, now)
            self.hub.publish(
                messages.EndpointsConfirmed(
                    zone=table.zone,
                    epoch=table.epoch,
                    sequence=table.sequence,
                    table=sequence,
                )
            )

    def _greeting(self) -> list[object]:
        tables = list(self.peers.tables.values())
        return self.member.greeting() + tables

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            if isinstance(received.message, member_messages.Heartbeat):
                self._note_heartbeat(received.message)
            if not self.member.receive(received):
                self._apply(received)

    def _note_heartbeat(self, message: member_messages.Heartbeat) -> None:
        for zone, epoch in message.owned.items():
            self._note_epoch(zone, epoch, message.node)

    def _apply(self, received: hubs.Received) -> None:
        match received.message:
            case messages.EndpointTable() as table:
                self._note_epoch(table.zone, table.epoch, "a peer")
                current = self.peers.tables.get(table.zone)
                version = (table.epoch, table.sequence)
                if current is None or version > (
                    current.epoch,
                    current.sequence,
                ):
                    self.peers.tables[table.zone] = table
                self.member.relay(received, version)
            case messages.ZoneStatus() as status:
                self._note_epoch(status.zone, status.epoch, status.owner)
                self.peers.keep_newer_status(status)
                version = (status.epoch, status.sequence)
                self.member.relay(received, version)
            case messages.EndpointsConfirmed() as confirmed:
                version = (confirmed.epoch, confirmed.sequence)
                self.member.relay(received, version)
            case messages.ZoneReleased() as release:
                tenure = self.tenures.get(ids.ZoneId(release.zone))
                if tenure is not None:
                    tenure.note_release(release)
                self.member.relay(received, (release.epoch,))

    def _note_epoch(self, zone: str, epoch: int, source: str) -> None:
        tenure = self.tenures.get(ids.ZoneId(zone))
        if tenure is not None:
            tenure.note_epoch(epoch, source)

    def owned_zones(self) -> dict[ids.ZoneId, owners.Owner]:
        """Return the owners of the zones that this process owns now."""
        return {
            zone: tenure.owner
            for zone, tenure in self.tenures.items()
            if tenure.owner is not None
        }

    async def _sample_queues(self) -> None:
        while True:
            for zone, owner in self.owned_zones().items():
                history = self.queue_histories.setdefault(
                    zone, operator_calls.QueueHistory()
                )
                history.add(owner.state)
            await self.clock.sleep(operator_calls.SAMPLE_INTERVAL)

    def _queue_document(self, zone: ids.ZoneId, owner: owners.Owner) -> dict:
        history = self.queue_histories.get(zone, operator_calls.QueueHistory())
        return operator_calls.queue_document(
            owner.state, history, self.clock.monotonic()
        )

    async def _handle(self, exchange: server.Exchange) -> None:
        match exchange.head.path:
            case "/healthz":
                await exchange.respond_json(document={"status": "ok"})
            case "/metrics":
                await self._metrics(exchange)
            case "/v1/explain":
                await self._explain(exchange)
            case "/v1/members":
                await exchange.respond_json(
                    document=member_documents.document(self.member)
                )
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
        for zone, owner in self.owned_zones().items():
            document = self._queue_document(zone, owner)
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
        for zone, owner in self.owned_zones().items():
            document = operator_calls.explain_document(owner.state, name, now)
            if document is not None:
                await exchange.respond_json(
                    document={"zone": zone, **document}
                )
                return
        await exchange.respond_json(
            document={"code": "task-not-found"}, status=404
        )

    def _status(self) -> dict:
        owned = self.owned_zones()
        return {
            "zones": {
                zone: self._queue_document(zone, owner)
                for zone, owner in owned.items()
            },
            "node": self.settings.node,
            "generation": self.subscription.generation,
            "owned": {zone: owner.epoch for zone, owner in owned.items()},
        }
