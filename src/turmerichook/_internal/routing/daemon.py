"""The gateway process."""

import asyncio
import datetime
import random
import resource
import time
import urllib.parse

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import documents as member_documents
from turmerichook._internal.membership import member as members
from turmerichook._internal.membership import metrics as member_metrics
from turmerichook._internal.providers import store_http
from turmerichook._internal.routing import balancer as balancers
from turmerichook._internal.routing import endpoints
from turmerichook._internal.routing import events
from turmerichook._internal.routing import forwarding
from turmerichook._internal.routing import job_calls
from turmerichook._internal.routing import metrics as metrics_module
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import requests
from turmerichook._internal.routing import submission
from turmerichook._internal.scheduling import messages
from turmerichook._internal import settings as settings_module
from turmerichook._internal import stream_types
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs

TICK_INTERVAL = datetime.timedelta(seconds=1)
# Time after closing the listener in which a request that is already on its way
# on an idle connection is still answered.
IDLE_GRACE_S = 1.0
# Limit of open files that the process sets for itself: enough for the
# connections of callers and those to endpoints, with a reserve. Without free
# file descriptors, every new connection to an endpoint would fail at once.
MAX_OPEN_FILES = 4096
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class GatewayDaemon:
    """The servers, streams and background tasks of a gateway process.

    :param gateways: returns the number of gateways of the site. Without it,
        the live gateways that are known to the membership are counted. Until
        these are known after the start, half of the peers in the settings are
        taken for gateways and the other half for schedulers.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        clock: clocks.Clock,
        gateways: balancers.GatewayCount | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.stopping = False
        host, port = addresses.split(settings.store)
        self.store = store_http.HttpStore(host=host, port=port)
        self.subscription = distribution.Subscription(
            store=self.store, clock=clock, held=True
        )
        self.member = members.Member(
            settings=settings,
            role="gateway",
            store=self.store,
            clock=clock,
            subscription=self.subscription,
        )
        self.subscription.listeners.append(self._apply_configuration)
        self.jobs = job_calls.JobCalls(
            submissions=submission.Submissions(store=self.store, clock=clock),
            subscription=self.subscription,
        )
        self.directory = endpoints.EndpointDirectory()
        source = random.Random()
        self.balancer = balancers.Balancer(
            node=settings.node,
            zone=settings.zone,
            gateways=gateways or self.member.live_gateways,
            now=time.monotonic,
            source=source,
        )
        self.metrics = metrics_module.Metrics()
        self.forwarder = forwarding.Forwarder(
            balancer=self.balancer,
            metrics=self.metrics,
            now=time.monotonic,
            source=source,
        )
        self.hub = hubs.Hub(
            codec=codec.Codec(types=stream_types.STREAM_TYPES),
            clock=clock,
            greeting=self._greeting,
            **members.hub_peers(settings),
        )
        self.server = server.Server(handler=self._handle)

    async def run(self) -> None:
        """Run until cancelled, then finish the requests in progress."""
        _raise_file_limit()
        host, port = addresses.split(self.settings.listen)
        await self.server.start(host=host, port=port)
        await self.hub.start(self.settings.peer_listen)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.member.run(self.hub))
                group.create_task(self._receive())
                group.create_task(self._tick())
        finally:
            await self._stop()

    async def _stop(self) -> None:
        """Stop without cutting off requests in progress.

        First the gateway reports itself as not ready, so that the load
        balancer sends no new callers. After the notice time the listener is
        closed and the requests in progress are finished.
        """
        logs.emit(
            events.RoutingEvent.STOPPING,
            notice_s=self.settings.notice_s,
            connections=len(self.server.connections),
        )
        self.stopping = True
        self.server.announce_stop()
        background_tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._tick()),
        ]
        await asyncio.sleep(self.settings.notice_s)
        await self.server.stop(
            grace=forwarding.MAX_EXCHANGE_S, idle_grace=IDLE_GRACE_S
        )
        for task in background_tasks:
            task.cancel()
        self.balancer.close()
        self.hub.stop()

    def _greeting(self) -> list[object]:
        return self.member.greeting() + list(self.directory.tables.values())

    def _apply_configuration(self, _) -> None:
        self.forwarder.configure(self.subscription.configuration)
        self._refresh()

    def _refresh(self) -> None:
        self.balancer.refresh(self.directory, self.subscription.configuration)

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            if self.member.receive(received):
                continue
            match received.message:
                case messages.EndpointTable():
                    table = received.message
                    if self.directory.update(table, time.monotonic()):
                        version = (table.epoch, table.sequence)
                        self.member.relay(received, version)
                        self._refresh()
                case messages.EndpointsConfirmed() as confirmed:
                    self.directory.confirm(confirmed, time.monotonic())
                    version = (confirmed.epoch, confirmed.sequence)
                    self.member.relay(received, version)
                case messages.ZoneStatus(epoch=epoch, sequence=sequence):
                    self.member.relay(received, (epoch, sequence))
                case messages.ZoneReleased(epoch=epoch):
                    self.member.relay(received, (epoch,))

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK_INTERVAL)
            self.directory.report_stale_tables(time.monotonic())
            self.balancer.tick(self.directory, self.subscription.configuration)

    async def _handle(self, exchange: server.Exchange) -> None:
        path = exchange.head.path
        method = exchange.head.method
        if path.startswith(requests.SERVICE_PREFIX):
            await self.forwarder.handle(exchange)
        elif path == "/v1/jobs" and method == "POST":
            await self.jobs.submit(exchange)
        elif path == job_calls.CANCEL_PATH and method == "POST":
            await self.jobs.cancel(exchange)
        elif path.startswith(job_calls.JOB_PREFIX) and method == "GET":
            await self.jobs.show(exchange)
        elif path == "/healthz":
            await exchange.respond_json(document={"status": "ok"})
        elif path == "/v1/members":
            await exchange.respond_json(
                document=member_documents.document(self.member)
            )
        elif path == "/v1/explain":
            await self._handle_explain(exchange)
        elif path == "/readyz":
            await self._handle_ready(exchange)
        elif path == "/metrics":
            await self._handle_metrics(exchange)
        elif path == "/v1/status":
            await exchange.respond_json(document=self._status())
        else:
            refusal = refusals.build(refusals.Code.NOT_FOUND)
            await job_calls.refuse(exchange, refusal)

    async def _handle_explain(self, exchange: server.Exchange) -> None:
        query = urllib.parse.parse_qs(exchange.head.query)
        name = query.get("request", [""])[0]
        explanation = self.forwarder.recent.explain(name)
        if explanation is None:
            refusal = refusals.build(refusals.Code.NOT_FOUND)
            await job_calls.refuse(exchange, refusal)
            return
        await exchange.respond_json(document=explanation)

    async def _handle_ready(self, exchange: server.Exchange) -> None:
        reason = self._not_ready_reason()
        status = 503 if reason else 200
        await exchange.respond_json(
            document={"status": reason or "ready"}, status=status
        )

    def _not_ready_reason(self) -> str:
        """Return why the gateway is not ready, or an empty string if it is."""
        if self.stopping:
            return "stopping"
        if not self.subscription.generation:
            return "no-configuration"
        services = self.subscription.configuration.services
        if services and not self.directory.tables:
            return "no-endpoint-table"
        return ""

    async def _handle_metrics(self, exchange: server.Exchange) -> None:
        now = time.monotonic()
        for zone, age in self.directory.ages(now).items():
            labels = (("zone", zone),)
            self.metrics.set("endpoint_table_age_seconds", age, labels)
        self.metrics.set("connections", len(self.server.connections))
        member_metrics.collect(self.metrics, self.member)
        for service, service_pool in self.balancer.services.items():
            labels = (("service", service),)
            targets = service_pool.targets.values()
            self.metrics.set("endpoints", len(targets), labels)
            in_flight = sum(target.in_flight for target in targets)
            self.metrics.set("in_flight", in_flight, labels)
            self.metrics.set("queue_length", len(service_pool.queue), labels)
        await exchange.respond(
            status=200,
            body=self.metrics.render().encode(),
            content_type=METRICS_TYPE,
        )

    def _status(self) -> dict:
        return {
            "node": self.settings.node,
            "generation": self.subscription.generation,
            "endpoints": {
                service: len(running)
                for service, running in self.directory.by_service.items()
            },
            "endpoint_table_age_s": self.directory.ages(time.monotonic()),
        }


def _raise_file_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    file_limit = MAX_OPEN_FILES
    if hard != resource.RLIM_INFINITY:
        file_limit = min(MAX_OPEN_FILES, hard)
    if soft != resource.RLIM_INFINITY and soft < file_limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (file_limit, hard))
