"""One attempt to have a service request answered by a chosen endpoint.

An attempt ends in one of three ways: the response was forwarded to the caller,
the request is to be sent to another endpoint, or the request is refused. The
result also updates the health, the concurrency limit and the latency that the
gateway keeps for the endpoint.
"""

import asyncio

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.routing import call as calls
from turmerichook._internal.routing import events
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import relay
from turmerichook._internal.routing import requests
from turmerichook._internal.routing import results
from turmerichook._internal.routing import retries
from turmerichook._internal.routing import service_pools
from turmerichook import exceptions

UNAVAILABLE = 503
# Statuses that report a failure which another endpoint may not have.
RETRIABLE_STATUSES = frozenset({502, 503, 504})
SERVER_ERROR = 500
NOT_RUN = refusals.Outcome.NOT_RUN.value
UNKNOWN = refusals.Outcome.UNKNOWN.value


class EndpointAttempt:
    """Sends a request to the endpoint of a lease.

    :param lease: the right to one exchange with the endpoint.
    :param budget: retry budget of this gateway.
    :param exchange_id: value of the header ``Exchange-Id`` of this attempt.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        lease: service_pools.Lease,
        budget: retries.Budget,
        exchange_id: bytes,
    ):
        self.call = call
        self.lease = lease
        self.budget = budget
        self.exchange_id = exchange_id
        self.now = lease.service_pool.now

    async def run(self) -> bool:
        """Send the request and forward the response.

        :returns: True if the response was forwarded to the caller, False if
            another attempt is to be made.
        :raises RefusedError: if the request is refused.
        :raises ExchangeError: if the response was cut off after its start.
        :raises CallerError: if the caller did not receive the response.
        """
        connection = await self._connect()
        if connection is None:
            return self._retry_or_refuse(
                retries.Effect.NOTHING_SENT,
                refusals.Code.ENDPOINT_UNREACHABLE,
            )
        attempt = self._new_attempt(connection)
        try:
            return await self._exchange(attempt)
        finally:
            await attempt.end()
            self.lease.pool.give_back(connection)

    async def _connect(self) -> client.ClientConnection | None:
        fresh = not self.call.request.idempotent
        remaining_s = self.call.deadline - self.now()
        try:
            connection = await self.lease.pool.take(
                fresh=fresh, left=remaining_s
            )
        except exceptions.ConnectError as error:
            if self.now() >= self.call.deadline:
                raise calls.RefusedError(
                    code=refusals.Code.DEADLINE_PASSED
                ) from error
            self._record_failure(error)
            return None
        results.record_connect_time(self.lease)
        return connection

    def _new_attempt(
        self, connection: client.ClientConnection
    ) -> relay.Attempt:
        call = self.call
        endpoint = self.lease.target.endpoint
        head = relay.request_head(
            head=call.exchange.head,
            address=endpoint.address,
            task=endpoint.task,
            exchange_id=self.exchange_id,
            remaining_s=call.deadline - self.now(),
            attempt=call.request.attempt + call.attempts - 1,
        )
        return relay.Attempt(
            exchange=call.exchange,
            connection=connection,
            head=head,
            body=call.body,
            exchange_id=self.exchange_id,
        )

    async def _exchange(self, attempt: relay.Attempt) -> bool:
        started_at = self.now()
        try:
            response = await attempt.receive(self.call.deadline)
        except relay.CallerError as error:
            await attempt.end()
            self._record_possible_run(attempt)
            raise _refusal_for_caller_error(error.cause) from error
        except exceptions.DeadlineExceededError as error:
            await attempt.end()
            self._record_possible_run(attempt)
            results.record_late_response(
                self.lease, waited=self.now() - started_at
            )
            raise calls.RefusedError(
                code=refusals.Code.DEADLINE_PASSED
            ) from error
        except exceptions.ExchangeError as error:
            self._record_failure(error)
            await attempt.end()
            return self._retry_or_refuse(
                _failure_effect(attempt.connection),
                refusals.Code.ENDPOINT_FAILED,
            )
        return await self._handle_response(attempt, response, started_at)

    async def _handle_response(
        self,
        attempt: relay.Attempt,
        response: heads.ResponseHead,
        started_at: float,
    ) -> bool:
        not_run = (
            response.status == UNAVAILABLE
            and response.header(requests.OUTCOME_HEADER) == NOT_RUN
        )
        self._record_response(attempt, response, not_run, started_at)
        if not_run or response.status in RETRIABLE_STATUSES:
            effect = retries.Effect.UNKNOWN
            if not_run:
                effect = retries.Effect.NOT_RUN
            if self._retry_verdict(effect) is retries.RetryDecision.RETRY:
                await attempt.discard()
                return False
        headers = relay.end_to_end_headers(
            response.headers, relay.OWN_RESPONSE_HEADERS
        )
        if self.call.may_have_run:
            headers = [
                _with_unknown_outcome(name, value) for name, value in headers
            ]
        try:
            await attempt.forward_response(response, headers)
        except exceptions.ExchangeError as error:
            self._record_failure(error)
            raise
        return True

    def _record_response(
        self,
        attempt: relay.Attempt,
        response: heads.ResponseHead,
        not_run: bool,
        started_at: float,
    ) -> None:
        load = response.header(relay.LOAD_HEADER)
        if not_run:
            pause = results.record_rejection(self.lease, load=load)
            service_pool = self.lease.service_pool
            asyncio.get_running_loop().call_later(
                pause, service_pool.grant_waiting
            )
        elif response.status >= SERVER_ERROR:
            results.record_failure(self.lease)
        else:
            # A response that started before the whole request was sent tells
            # nothing about the processing time of the endpoint, so the
            # present average latency of the service is recorded instead.
            latency = self.lease.service_pool.latency
            if attempt.sent_at:
                latency = self.now() - max(started_at, attempt.sent_at)
            results.record_response(self.lease, latency=latency, load=load)

    def _record_possible_run(self, attempt: relay.Attempt) -> None:
        if _failure_effect(attempt.connection) is retries.Effect.UNKNOWN:
            self.call.may_have_run = True

    def _retry_or_refuse(
        self, effect: retries.Effect, code: refusals.Code
    ) -> bool:
        if self._retry_verdict(effect) is retries.RetryDecision.RETRY:
            return False
        raise calls.RefusedError(code=code)

    def _retry_verdict(self, effect: retries.Effect) -> retries.RetryDecision:
        call = self.call
        if effect is retries.Effect.UNKNOWN:
            call.may_have_run = True
        return retries.decide(
            retries.Failure(
                effect=effect,
                attempts=call.attempts,
                idempotent=call.request.idempotent,
                replayable=call.replayable,
                marked_as_retry=call.request.attempt > 1,
                remaining_s=call.deadline - self.now(),
            ),
            self.budget,
        )

    def _record_failure(self, error: exceptions.ExchangeError) -> None:
        results.record_failure(self.lease)
        logs.emit(
            events.RoutingEvent.EXCHANGE_FAILED,
            service=self.call.request.service,
            endpoint=self.lease.target.endpoint.address,
            attempt=self.call.attempts,
            progress=error.progress.value,
            error=error,
        )


def _failure_effect(connection: client.ClientConnection) -> retries.Effect:
    if connection.progress is exceptions.Progress.NOTHING_SENT:
        return retries.Effect.NOTHING_SENT
    return retries.Effect.UNKNOWN


def _with_unknown_outcome(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Replace the value of a Request-Outcome header by "unknown".

    The endpoint's value describes the last attempt only, while an earlier
    attempt of the request may have run.
    """
    if name == requests.OUTCOME_HEADER:
        return name, UNKNOWN.encode()
    return name, value


def _refusal_for_caller_error(
    cause: exceptions.TurmerichookError,
) -> calls.RefusedError:
    match cause:
        case exceptions.BodyTooLargeError():
            return calls.RefusedError(code=refusals.Code.BODY_TOO_LARGE)
        case _:
            return calls.RefusedError(code=refusals.Code.BODY_MALFORMED)
