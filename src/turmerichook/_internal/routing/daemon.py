"""The gateway process."""

import asyncio
import json

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.http import addresses
from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import member as members
from turmerichook._internal.models import ids
from turmerichook._internal.platform import store_http
from turmerichook._internal.routing import endpoints
from turmerichook._internal.routing import events
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import relay
from turmerichook._internal.routing import submission
from turmerichook._internal.scheduling import daemon as scheduler_daemon
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import messages
from turmerichook._internal import settings as settings_module
from turmerichook._internal.streams import codec
from turmerichook._internal.streams import hub as hubs
from turmerichook import exceptions

CONNECT_TIMEOUT = 1.0
SERVICE_PREFIX = "/services/"
JOB_PREFIX = "/v1/jobs/"


class GatewayDaemon:
    """Everything that one gateway process runs."""

    def __init__(
        self, *, settings: settings_module.Settings, clock: clocks.Clock
    ):
        self.settings = settings
        self.clock = clock
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
        self.submissions = submission.Submissions(
            store=self.store, clock=clock
        )
        self.directory = endpoints.EndpointDirectory()
        self.hub = hubs.Hub(
            codec=codec.Codec(types=scheduler_daemon.STREAM_TYPES),
            clock=clock,
            greeting=self._greeting,
            **members.hub_peers(settings),
        )
        self.server = server.Server(handler=self._handle)
        self.turn = 0

    async def run(self) -> None:
        """Run until cancelled, then let requests in progress end."""
        host, port = addresses.split(self.settings.listen)
        await self.server.start(host=host, port=port)
        await self.hub.start(self.settings.peer_listen)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.member.run(self.hub))
                group.create_task(self._receive())
        finally:
            self.hub.stop()
            await self.server.stop(grace=30.0)

    def _greeting(self) -> list[object]:
        return self.member.greeting() + list(self.directory.tables.values())

    async def _receive(self) -> None:
        while True:
            received = await self.hub.received.get()
            if self.member.receive(received):
                continue
            match received.message:
                case messages.EndpointTable():
                    table = received.message
                    if self.directory.update(table):
                        version = (table.epoch, table.sequence)
                        self.member.relay(received, version)

    async def _handle(self, exchange: server.Exchange) -> None:
        path = exchange.head.path
        method = exchange.head.method
        if path.startswith(SERVICE_PREFIX):
            await self._handle_service(exchange)
        elif path == "/v1/jobs" and method == "POST":
            await self._handle_submit(exchange)
        elif path.startswith(JOB_PREFIX) and method == "GET":
            await self._handle_job(exchange)
        elif path == "/healthz":
            await exchange.respond_json(document={"status": "ok"})
        elif path == "/v1/members":
            await exchange.respond_json(document=self.member.document())
        elif path == "/v1/status":
            await exchange.respond_json(document=self._status())
        else:
            await self._refuse(exchange, _not_found())

    def _status(self) -> dict:
        return {
            "node": self.settings.node,
            "generation": self.subscription.generation,
            "endpoints": {
                service: len(found)
                for service, found in self.directory.by_service.items()
            },
        }

    async def _handle_service(self, exchange: server.Exchange) -> None:
        service = exchange.head.path.removeprefix(SERVICE_PREFIX)
        service = service.partition("/")[0]
        found = self.directory.of_service(service)
        if not found:
            await self._refuse(exchange, _no_endpoint(service))
            return
        self.turn += 1
        endpoint = found[self.turn % len(found)]
        host, port = addresses.split(endpoint.address)
        try:
            connection = await client.ClientConnection.open(
                host=host, port=port, timeout=CONNECT_TIMEOUT
            )
        except exceptions.ConnectError:
            await self._refuse(exchange, _no_endpoint(service))
            return
        logs.emit(
            events.RoutingEvent.REQUEST_ROUTED,
            service=service,
            endpoint=endpoint.address,
            zone=endpoint.zone,
            reason="next-in-turn",
        )
        head = heads.RequestHead(
            method=exchange.head.method,
            target=exchange.head.target,
            headers=relay.end_to_end(exchange.head.headers),
        )
        try:
            await relay.relay(
                exchange=exchange, connection=connection, head=head
            )
        except exceptions.ExchangeError as error:
            logs.emit(
                events.RoutingEvent.EXCHANGE_FAILED,
                service=service,
                endpoint=endpoint.address,
                error=error,
            )
            if exchange.response_started:
                raise
            await self._refuse(exchange, _endpoint_failed(service))
        finally:
            connection.close()

    async def _handle_submit(self, exchange: server.Exchange) -> None:
        body = await exchange.read_all()
        try:
            record = await self.submissions.submit(
                body, self.subscription.configuration
            )
        except exceptions.TurmerichookError as error:
            await self._refuse(exchange, _submission_refusal(error))
            return
        logs.emit(
            events.RoutingEvent.JOB_ACCEPTED,
            job=record.spec.job,
            home=record.home,
        )
        await exchange.respond_json(document=_document(record), status=202)

    async def _handle_job(self, exchange: server.Exchange) -> None:
        name = exchange.head.path.removeprefix(JOB_PREFIX)
        try:
            record = await self.submissions.find(ids.JobId(name))
        except exceptions.TurmerichookError as error:
            await self._refuse(exchange, _submission_refusal(error))
            return
        await exchange.respond_json(document=_document(record))

    async def _refuse(
        self, exchange: server.Exchange, refusal: refusals.Refusal
    ) -> None:
        logs.emit(
            events.RoutingEvent.REQUEST_REFUSED,
            target=json.dumps(exchange.head.path[:80]),
            code=refusal.code,
            outcome=refusal.outcome.value,
        )
        await refusals.send(exchange, refusal)


def _document(record: jobs.JobRecord) -> dict:
    return {
        "id": record.spec.job,
        "state": record.state.value,
        "home": record.home,
        "tasks": record.spec.tasks,
        "accepted": record.accepted,
        "detail": record.detail,
    }


def _not_found() -> refusals.Refusal:
    return refusals.Refusal(
        status=404,
        code="not-found",
        title="nothing is served at this path",
        outcome=refusals.Outcome.NOT_RUN,
    )


def _no_endpoint(service: str) -> refusals.Refusal:
    return refusals.Refusal(
        status=503,
        code="no-endpoint",
        title=f"service {service[:63]} has no endpoint now",
        outcome=refusals.Outcome.NOT_RUN,
        retry_after=1,
    )


def _endpoint_failed(service: str) -> refusals.Refusal:
    return refusals.Refusal(
        status=502,
        code="endpoint-failed",
        title=f"an endpoint of {service[:63]} broke off",
        outcome=refusals.Outcome.UNKNOWN,
    )


def _submission_refusal(
    error: exceptions.TurmerichookError,
) -> refusals.Refusal:
    status = 503
    outcome = refusals.Outcome.NOT_RUN
    match error:
        case exceptions.JobInvalidError() | exceptions.ConfigurationError():
            status = 400
        case exceptions.JobConflictError():
            status = 409
        case exceptions.JobNotFoundError():
            status = 404
        case exceptions.StoreOutcomeUnknownError():
            outcome = refusals.Outcome.UNKNOWN
    return refusals.Refusal(
        status=status,
        code=error.reference,
        title=_title(error),
        outcome=outcome,
        retry_after=1 if status == 503 else 0,
    )


def _title(error: exceptions.TurmerichookError) -> str:
    if isinstance(error, exceptions.ConfigurationError):
        return "; ".join(
            f"{p.where}: expected {p.expected}" for p in error.problems
        )
    return error.message
