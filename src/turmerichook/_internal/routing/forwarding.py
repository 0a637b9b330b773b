"""Handling of service requests in the gateway.

A request is admitted or refused, waits for an endpoint if necessary, and is
sent to endpoints until one has answered or the request is refused.
"""

import asyncio
import itertools
import random

from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.routing import attempts
from turmerichook._internal.routing import balancer as balancers
from turmerichook._internal.routing import bodies
from turmerichook._internal.routing import call as calls
from turmerichook._internal.routing import events
from turmerichook._internal.routing import metrics as metrics_module
from turmerichook._internal.routing import queues
from turmerichook._internal.routing import rates
from turmerichook._internal.routing import recent
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import relay
from turmerichook._internal.routing import requests
from turmerichook._internal.routing import retries
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import service_pools
from turmerichook import exceptions

# Size of the largest request body that is relayed.
MAX_BODY_BYTES = 256 * 1024 * 1024
# Maximum duration of one exchange with a caller, bodies included.
MAX_EXCHANGE_S = 900.0
UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})

REFUSAL_CODE_BY_SHED = {
    queues.Shed.QUEUE_FULL: refusals.Code.QUEUE_FULL,
    queues.Shed.DISPLACED: refusals.Code.DISPLACED,
    queues.Shed.CANNOT_MEET_DEADLINE: refusals.Code.CANNOT_MEET_DEADLINE,
    queues.Shed.DEADLINE_PASSED: refusals.Code.DEADLINE_PASSED,
}


class Forwarder:
    """Relays service requests to endpoints.

    :param now: returns the monotonic time in seconds of the event loop's
        clock.
    :param source: random number generator.
    """

    def __init__(
        self,
        *,
        balancer: balancers.Balancer,
        metrics: metrics_module.Metrics,
        now: service_pools.MonotonicClock,
        source: random.Random,
    ):
        self.balancer = balancer
        self.metrics = metrics
        self.now = now
        self.configuration: site.Configuration = site.EMPTY
        self.budget = retries.Budget()
        self.rates = rates.TeamRates()
        self.replay_budget = bodies.ReplayBudget()
        self.recent = recent.RecentDecisions()
        # Random prefix that keeps the exchange ids of two gateways distinct.
        self.exchange_id_prefix = f"{source.getrandbits(48):012x}"
        self.exchange_numbers = itertools.count(1)

    def configure(self, configuration: site.Configuration) -> None:
        """Apply a new configuration to the requests that follow."""
        self.configuration = configuration
        self.rates.retain_teams(set(configuration.teams))

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer a service request, or refuse it."""
        started_at = self.now()
        exchange.connection.abortable = True
        self.metrics.count("requests_total")
        call = None
        loop = exchange.connection.wire.loop
        handle = loop.call_later(
            MAX_EXCHANGE_S, exchange.connection.task.cancel
        )
        try:
            call = self._admit(exchange, started_at)
            await self._send_to_endpoints(call)
        except calls.RefusedError as error:
            await self._refuse(exchange, error, _may_have_run(call))
        except (asyncio.CancelledError, relay.CallerError) as error:
            self._log_caller_disconnect(exchange, error)
            raise
        except exceptions.ExchangeError:
            if exchange.response_started:
                # The server closes the connection without ending the
                # response, so the caller detects that it is truncated.
                raise
            error = calls.RefusedError(code=refusals.Code.ENDPOINT_FAILED)
            await self._refuse(exchange, error, True)
        except Exception as error:
            await self._handle_internal_error(exchange, error, call)
        finally:
            handle.cancel()
            if call is not None and call.body is not None:
                call.body.release()
        if call is not None:
            labels = (("urgency", call.urgency.value),)
            self.metrics.record("seconds", self.now() - started_at, labels)

    def _log_caller_disconnect(
        self, exchange: server.Exchange, error: BaseException
    ) -> None:
        self.metrics.count("callers_gone_total")
        logs.emit(
            events.RoutingEvent.CALLER_GONE,
            target=ascii(exchange.head.path[:80]),
            error=error,
        )

    async def _handle_internal_error(
        self,
        exchange: server.Exchange,
        error: Exception,
        call: calls.Call | None,
    ) -> None:
        """Refuse a request after an unexpected error in the gateway."""
        logs.emit(
            events.RoutingEvent.REQUEST_FAILED,
            target=ascii(exchange.head.path[:80]),
            error=repr(error),
        )
        if exchange.response_started:
            raise exceptions.ExchangeError(
                message="the gateway failed after the response had started",
                progress=exceptions.Progress.RESPONSE_STARTED,
            ) from error
        refused = calls.RefusedError(code=refusals.Code.INTERNAL)
        tried = call is not None and call.attempts > 0
        await self._refuse(exchange, refused, tried)

    # Admission

    def _admit(
        self, exchange: server.Exchange, started_at: float
    ) -> calls.Call:
        request = requests.parse(exchange.head)
        if isinstance(request, outcomes.Absent):
            raise calls.RefusedError(
                code=refusals.Code.MALFORMED_HEADER, detail=request.detail
            )
        if exchange.head.method in UNSUPPORTED_METHODS:
            raise calls.RefusedError(code=refusals.Code.METHOD_NOT_RELAYED)
        service = self.configuration.services.get(request.service)
        if service is None and self.configuration.services:
            raise calls.RefusedError(code=refusals.Code.UNKNOWN_SERVICE)
        urgency = request.urgency or _default_urgency(service)
        team = self._team(service)
        self._enforce_team_rate(team, started_at)
        return calls.Call(
            exchange=exchange,
            request=request,
            urgency=urgency,
            team=team.team,
            weight=team.weight,
            deadline=started_at + request.timeout,
            body=self._body(exchange),
        )

    def _team(self, service: site.Service | None) -> site.Team:
        if service is None:
            return site.Team(team=ids.TeamId(""))
        configured_team = self.configuration.teams.get(service.team)
        return configured_team or site.Team(team=service.team)

    def _enforce_team_rate(self, team: site.Team, now: float) -> None:
        wait = self.rates.take_token(
            team=team.team,
            rate=team.request_rate,
            gateways=self.balancer.gateway_count,
            now=now,
        )
        if wait > 0:
            raise calls.RefusedError(
                code=refusals.Code.TEAM_RATE, retry_after=wait
            )

    def _body(self, exchange: server.Exchange) -> bodies.ReplayBody | None:
        if not exchange.has_body:
            return None
        length = exchange.head.header(b"content-length")
        if length and int(length) > MAX_BODY_BYTES:
            raise calls.RefusedError(code=refusals.Code.BODY_TOO_LARGE)
        return bodies.ReplayBody(
            exchange=exchange, budget=self.replay_budget, limit=MAX_BODY_BYTES
        )

    # Attempts

    async def _send_to_endpoints(self, call: calls.Call) -> None:
        if call.request.attempt == 1:
            self.budget.deposit()
        while True:
            lease = await self._acquire(call)
            call.attempts += 1
            self._log_routed(call, lease)
            exchange_id = (
                f"{self.exchange_id_prefix}-{next(self.exchange_numbers)}"
            )
            attempt = attempts.EndpointAttempt(
                call=call,
                lease=lease,
                budget=self.budget,
                exchange_id=exchange_id.encode(),
            )
            try:
                answered = await attempt.run()
            finally:
                lease.release()
            if answered:
                return
            call.failed_tasks |= {lease.target.endpoint.task}
            self.metrics.count("retries_total")

    async def _acquire(self, call: calls.Call) -> service_pools.Lease:
        service_pool = self.balancer.service_pool(call.request.service)
        if service_pool is None:
            raise calls.RefusedError(code=refusals.Code.NO_ENDPOINT)
        probe = call.request.idempotent and call.attempts == 0
        result = await service_pool.acquire(
            criteria=selection.SelectionCriteria(
                probe=probe, failed_tasks=call.failed_tasks
            ),
            urgency=call.urgency,
            team=call.team,
            weight=call.weight,
            deadline=call.deadline,
        )
        match result:
            case service_pools.Lease():
                return result
            case queues.Shed():
                raise calls.RefusedError(
                    code=REFUSAL_CODE_BY_SHED[result],
                    retry_after=service_pool.queue.estimated_wait(
                        call.urgency
                    ),
                )
        raise calls.RefusedError(code=refusals.Code.NO_ENDPOINT)

    def _log_routed(
        self, call: calls.Call, lease: service_pools.Lease
    ) -> None:
        endpoint = lease.target.endpoint
        endpoint_text = f"{endpoint.task} at {endpoint.address}"
        self.recent.record_routed(
            call.exchange.head, lease.why.value, endpoint_text
        )
        logs.emit(
            events.RoutingEvent.REQUEST_ROUTED,
            service=call.request.service,
            endpoint=endpoint.address,
            task=endpoint.task,
            zone=endpoint.zone,
            reason=lease.why.value,
            attempt=call.attempts,
            urgency=call.urgency.value,
            in_flight=lease.target.in_flight,
        )

    async def _refuse(
        self,
        exchange: server.Exchange,
        error: calls.RefusedError,
        may_have_run: bool,
    ) -> None:
        outcome = refusals.Outcome.NOT_RUN
        if may_have_run:
            outcome = refusals.Outcome.UNKNOWN
        refusal = refusals.build(
            error.code,
            outcome=outcome,
            retry_after=error.retry_after,
            detail=error.detail,
        )
        logs.emit(
            events.RoutingEvent.REQUEST_REFUSED,
            target=ascii(exchange.head.path[:80]),
            code=refusal.code,
            outcome=refusal.outcome.value,
        )
        self.recent.record_refused(exchange.head, refusal)
        self.metrics.count("refusals_total", (("code", refusal.code),))
        await refusals.send(exchange, refusal)


def _default_urgency(service: site.Service | None) -> site.Urgency:
    return site.Urgency.NORMAL if service is None else service.urgency


def _may_have_run(call: calls.Call | None) -> bool:
    return call is not None and call.may_have_run
