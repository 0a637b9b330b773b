"""One attempt of a service request, with what it teaches about the endpoint.

An attempt ends in one of three ways: the answer was passed on, the request is
to be sent to another endpoint, or it is refused.
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
# Statuses that say that the answering server could not do its work now.
RETRIABLE = frozenset({502, 503, 504})
SERVER_ERROR = 500
NOT_RUN = refusals.Outcome.NOT_RUN.value
UNKNOWN = refusals.Outcome.UNKNOWN.value


class EndpointAttempt:
    """Sends a call to the endpoint of a lease."""

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
        """Make the attempt.

        :returns: whether the call is answered; otherwise another attempt is
            to be made.
        :raises RefusedError: if the call is refused.
        :raises ExchangeError: if the answer was cut off after it had begun.
        :raises CallerError: if the caller did not take the answer.
        """
        connection = await self._connect()
        if connection is None:
            return self._retry(
                retries.Effect.NOTHING_SENT,
                refusals.Code.ENDPOINT_UNREACHABLE,
            )
        attempt = self._attempt(connection)
        try:
            return await self._exchange(attempt)
        finally:
            await attempt.end()
            self.lease.pool.give_back(connection)

    async def _connect(self) -> client.ClientConnection | None:
        fresh = not self.call.request.idempotent
        left = self.call.deadline - self.now()
        try:
            connection = await self.lease.pool.take(fresh=fresh, left=left)
        except exceptions.ConnectError as error:
            if self.now() >= self.call.deadline:
                raise calls.RefusedError(
                    code=refusals.Code.DEADLINE_PASSED
                ) from error
            self._failed(error)
            return None
        results.connected(self.lease)
        return connection

    def _attempt(self, connection: client.ClientConnection) -> relay.Attempt:
        call = self.call
        endpoint = self.lease.target.endpoint
        head = relay.request_head(
            head=call.exchange.head,
            address=endpoint.address,
            task=endpoint.task,
            exchange_id=self.exchange_id,
            left=call.deadline - self.now(),
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
        began = self.now()
        try:
            response = await attempt.receive(self.call.deadline)
        except relay.CallerError as error:
            await attempt.end()
            self._note(attempt)
            raise _caller_refusal(error.cause) from error
        except exceptions.DeadlineExceededError as error:
            await attempt.end()
            self._note(attempt)
            results.late(self.lease, waited=self.now() - began)
            raise calls.RefusedError(
                code=refusals.Code.DEADLINE_PASSED
            ) from error
        except exceptions.ExchangeError as error:
            self._failed(error)
            await attempt.end()
            return self._retry(
                _effect(attempt.connection), refusals.Code.ENDPOINT_FAILED
            )
        return await self._judge(attempt, response, began)

    async def _judge(
        self,
        attempt: relay.Attempt,
        response: heads.ResponseHead,
        began: float,
    ) -> bool:
        not_run = (
            response.status == UNAVAILABLE
            and response.header(requests.OUTCOME_HEADER) == NOT_RUN
        )
        self._account(attempt, response, not_run, began)
        if not_run or response.status in RETRIABLE:
            effect = retries.Effect.UNKNOWN
            if not_run:
                effect = retries.Effect.NOT_RUN
            if self._decide(effect) is retries.Verdict.RETRY:
                await attempt.discard()
                return False
        headers = relay.end_to_end(
            response.headers, relay.OWN_RESPONSE_HEADERS
        )
        if self.call.may_have_run:
            headers = [_honest(name, value) for name, value in headers]
        try:
            await attempt.pass_on(response, headers)
        except exceptions.ExchangeError as error:
            self._failed(error)
            raise
        return True

    def _account(
        self,
        attempt: relay.Attempt,
        response: heads.ResponseHead,
        not_run: bool,
        began: float,
    ) -> None:
        load = response.header(relay.LOAD_HEADER)
        if not_run:
            pause = results.refused(self.lease, load=load)
            service_pool = self.lease.service_pool
            asyncio.get_running_loop().call_later(pause, service_pool.freed)
        elif response.status >= SERVER_ERROR:
            results.failed(self.lease)
        else:
            # An answer that came before the whole request says nothing about
            # the time that the endpoint needs.
            latency = self.lease.service_pool.latency
            if attempt.sent_at:
                latency = self.now() - max(began, attempt.sent_at)
            results.answered(self.lease, latency=latency, load=load)

    def _note(self, attempt: relay.Attempt) -> None:
        if _effect(attempt.connection) is retries.Effect.UNKNOWN:
            self.call.may_have_run = True

    def _retry(self, effect: retries.Effect, code: refusals.Code) -> bool:
        if self._decide(effect) is retries.Verdict.RETRY:
            return False
        raise calls.RefusedError(code=code)

    def _decide(self, effect: retries.Effect) -> retries.Verdict:
        call = self.call
        if effect is retries.Effect.UNKNOWN:
            call.may_have_run = True
        return retries.decide(
            retries.Failure(
                effect=effect,
                attempts=call.attempts,
                idempotent=call.request.idempotent,
                replayable=call.replayable,
                repeated=call.request.attempt > 1,
                left=call.deadline - self.now(),
            ),
            self.budget,
        )

    def _failed(self, error: exceptions.ExchangeError) -> None:
        results.failed(self.lease)
        logs.emit(
            events.RoutingEvent.EXCHANGE_FAILED,
            service=self.call.request.service,
            endpoint=self.lease.target.endpoint.address,
            attempt=self.call.attempts,
            progress=error.progress.value,
            error=error,
        )


def _effect(connection: client.ClientConnection) -> retries.Effect:
    if connection.progress is exceptions.Progress.NOTHING_SENT:
        return retries.Effect.NOTHING_SENT
    return retries.Effect.UNKNOWN


def _honest(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Correct a claim that holds for the last attempt only."""
    if name == requests.OUTCOME_HEADER:
        return name, UNKNOWN.encode()
    return name, value


def _caller_refusal(
    cause: exceptions.TurmerichookError,
) -> calls.RefusedError:
    match cause:
        case exceptions.BodyTooLargeError():
            return calls.RefusedError(code=refusals.Code.BODY_TOO_LARGE)
        case _:
            return calls.RefusedError(code=refusals.Code.BODY_MALFORMED)
