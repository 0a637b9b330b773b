"""Handle callers' requests.

A caller can submit or cancel a job, and ask for a job's state or for a queue's
length.
"""

import datetime
import math
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.intake import access as accesses
from turmerichook._internal.intake import events
from turmerichook._internal.intake import job_store
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook import exceptions

# A response is due this long before the caller's time-out, so that it reaches
# the caller in time.
RESPONSE_MARGIN = datetime.timedelta(milliseconds=250)
# Longest time that a request may wait for the store. After that the caller is
# better served by another entry process, so it gets an error response that
# tells it to try again. A single call to a store that does not answer takes
# about as long until it times out.
STORE_TIME_LIMIT = datetime.timedelta(milliseconds=1100)
# Value of the Retry-After header after a failure of the store. Most failures
# last a few seconds, but the caller should not wait that long: other entry
# processes may still reach the store.
RETRY_AFTER_S = 1
# Customer of jobs that came without a key.
NOBODY = ids.CustomerId("")


class CallFormat(typing.Protocol):
    """Decoder of callers' requests and encoder of the responses."""

    def timeout(self, head: heads.RequestHead) -> datetime.timedelta:
        """Return how long the caller waits for a response."""

    def host_name(self, head: heads.RequestHead) -> str:
        """Return the host name that the request is addressed to."""

    def key(self, head: heads.RequestHead) -> bytes:
        """Return the customer's key; empty without exactly one."""

    def job_id(self, path: str, queue: deployment.Queue) -> ids.JobId:
        """Return the id of the job that a path names.

        The id is empty if the path names the queue itself.

        :raises MessageError: if the path names neither.
        """

    def submission(
        self,
        body: bytes,
        *,
        job: ids.JobId,
        queue: deployment.Queue,
        customer: ids.CustomerId = ids.CustomerId(""),
        accepted: datetime.timedelta,
    ) -> model.JobSpec:
        """Return the job that the body of a submission describes.

        :raises MessageError: if the body is malformed.
        """

    def state_body(
        self,
        state: model.JobState,
        reason: progresses.FailureReason | None,
    ) -> bytes:
        """Return the response body for a job's state.

        :param reason: why the job has failed; None if it has not.
        """

    def pending_body(self, count: int) -> bytes:
        """Return the response body for a queue's length.

        :param count: number of the queue's jobs that have not begun.
        """


class CallHandler:
    """Request handler of the listener for callers.

    :param configuration: returns the configuration in force, or None before
        the first one is known.
    :param store_reachable: returns whether calls to the store are expected to
        succeed.
    """

    def __init__(
        self,
        *,
        call_format: CallFormat,
        jobs: job_store.JobStore,
        configuration: typing.Callable[[], deployment.Configuration | None],
        access: accesses.Access,
        store_reachable: typing.Callable[[], bool],
        metrics: registry.Registry,
        clock: clocks.Clock,
    ):
        self.call_format = call_format
        self.jobs = jobs
        self.configuration = configuration
        self.access = access
        self.store_reachable = store_reachable
        self.metrics = metrics
        self.clock = clock

    async def handle(self, exchange: server.Exchange) -> None:
        """Respond to one request."""
        started = self.clock.monotonic()
        head = exchange.head
        configuration = self.configuration()
        if configuration is None:
            await exchange.read_all()
            await self._refuse(
                exchange, 503, "no-configuration", RETRY_AFTER_S
            )
            return
        queue = configuration.find(self.call_format.host_name(head), head.path)
        if queue is None:
            logs.emit(
                events.IntakeEvent.ROUTE_UNKNOWN,
                method=head.method,
                path=head.path[:60],
                version=configuration.version,
            )
            await exchange.read_all()
            await self._refuse(exchange, 404, "no-such-queue")
            return
        customer = self._customer(exchange, queue, configuration)
        if isinstance(customer, accesses.Denial):
            # Answered before the body is read.
            await self._deny(exchange, queue, customer)
            return
        time_limit = min(
            self.call_format.timeout(head) - RESPONSE_MARGIN, STORE_TIME_LIMIT
        )
        deadline = started + time_limit
        try:
            job = self.call_format.job_id(head.path, queue)
            await self._route(
                exchange, configuration, queue, customer, job, deadline
            )
        except exceptions.BodyTooLargeError as error:
            await self._refuse(exchange, 413, error.message)
        except exceptions.MessageError as error:
            logs.emit(
                events.IntakeEvent.REQUEST_MALFORMED,
                method=head.method,
                path=head.path[:60],
                error=str(error),
            )
            await self._refuse(exchange, 400, error.message)
        elapsed = self.clock.monotonic() - started
        self.metrics.observe(
            "request_seconds", elapsed.total_seconds(), method=head.method
        )

    def _customer(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        configuration: deployment.Configuration,
    ) -> deployment.Customer | accesses.Denial | None:
        """Return the customer of a request; None if it needs none."""
        key = self.call_format.key(exchange.head)
        return self.access.check(key, queue, configuration)

    async def _route(
        self,
        exchange: server.Exchange,
        configuration: deployment.Configuration,
        queue: deployment.Queue,
        customer: deployment.Customer | None,
        job: ids.JobId,
        deadline: datetime.timedelta,
    ) -> None:
        match exchange.head.method:
            case "POST" if job:
                body = await exchange.read_all(configuration.body_bytes)
                current = self.configuration()
                if current is not configuration or not self.access.available(
                    current
                ):
                    # The key may have been removed meanwhile.
                    customer = self._customer(exchange, queue, current)
                    if isinstance(customer, accesses.Denial):
                        await self._deny(exchange, queue, customer)
                        return
                await self._submit(
                    exchange, queue, customer, job, body, deadline
                )
            case "GET" if job:
                await self._state(exchange, job, deadline)
            case "GET":
                await self._pending(exchange, queue, deadline)
            case "DELETE" if job:
                await self._cancel(exchange, job, deadline)
            case _:
                await exchange.read_all()
                await self._refuse(exchange, 405, "method-not-allowed")

    async def _submit(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        customer: deployment.Customer | None,
        job: ids.JobId,
        body: bytes,
        deadline: datetime.timedelta,
    ) -> None:
        spec = self.call_format.submission(
            body,
            job=job,
            queue=queue,
            customer=customer.customer if customer else NOBODY,
            accepted=datetime.timedelta(seconds=self.clock.now().timestamp()),
        )
        if customer and accesses.exceeds_quota(spec, customer):
            known = await self.jobs.state(job, deadline)
            if not isinstance(known, model.JobState):
                await self._refuse_beyond_quota(exchange, queue, job, known)
                return
            # The job was accepted under a higher quota, and is answered as
            # any other repeated submission.
        if not self.store_reachable():
            # No write is sent while the store is known to be unreachable, so
            # the job is certainly not stored.
            outcome: job_store.Stored | job_store.NoResultReason
            outcome = job_store.NoResultReason.NOT_STORED
        else:
            outcome = await self.jobs.submit(spec, deadline)
        match outcome:
            case job_store.Stored(repeated=repeated):
                self._log_submission(
                    events.IntakeEvent.JOB_ACCEPTED,
                    queue,
                    job,
                    repeated=repeated,
                    tasks=sum(step.count for step in spec.steps),
                )
                await exchange.respond(status=200, body=b"{}")
            case job_store.NoResultReason.NOT_STORED:
                self._log_submission(
                    events.IntakeEvent.JOB_REFUSED,
                    queue,
                    job,
                    reason=outcome.value,
                )
                await self._refuse_store_unavailable(exchange)
            case _:
                self._log_submission(
                    events.IntakeEvent.JOB_OUTCOME_UNKNOWN, queue, job
                )
                await self._refuse(exchange, 504, "outcome-unknown")

    async def _refuse_beyond_quota(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        job: ids.JobId,
        known: job_store.NoSuchJob | job_store.NoResultReason,
    ) -> None:
        """Refuse a job that its customer's quota can never hold.

        :param known: what the store says of a job with this id.
        """
        self._log_submission(
            events.IntakeEvent.JOB_REFUSED, queue, job, reason="exceeds-quota"
        )
        if isinstance(known, job_store.NoSuchJob):
            await self._refuse(exchange, 429, "exceeds-quota")
        else:
            # The job may have been accepted before.
            await self._refuse(exchange, 504, "outcome-unknown")

    async def _state(
        self,
        exchange: server.Exchange,
        job: ids.JobId,
        deadline: datetime.timedelta,
    ) -> None:
        outcome = await self.jobs.state(job, deadline)
        match outcome:
            case model.JobState():
                logs.emit(
                    events.IntakeEvent.STATE_ANSWERED,
                    job=job,
                    state=outcome.value,
                )
                reason = self.jobs.failure_reason(job)
                await exchange.respond(
                    status=200,
                    body=self.call_format.state_body(outcome, reason),
                )
            case job_store.NoSuchJob():
                logs.emit(
                    events.IntakeEvent.STATE_UNANSWERED,
                    job=job,
                    reason="no-such-job",
                )
                await self._refuse(exchange, 410, "no-such-job")
            case job_store.NoResultReason():
                logs.emit(
                    events.IntakeEvent.STATE_UNANSWERED,
                    job=job,
                    reason=outcome.value,
                )
                await self._refuse_store_unavailable(exchange)

    async def _cancel(
        self,
        exchange: server.Exchange,
        job: ids.JobId,
        deadline: datetime.timedelta,
    ) -> None:
        outcome = await self.jobs.cancel(job, deadline)
        match outcome:
            case job_store.Stored(repeated=repeated):
                logs.emit(
                    events.IntakeEvent.CANCEL_ACCEPTED,
                    job=job,
                    repeated=repeated,
                )
                await exchange.respond(status=200, body=b"{}")
            case job_store.NoSuchJob():
                logs.emit(events.IntakeEvent.CANCEL_RECORDED, job=job)
                await self._refuse(exchange, 410, "no-such-job")
            case job_store.TooManyUnknownJobs(retry_after=wait):
                await self._refuse_cancel(
                    exchange,
                    job,
                    503,
                    "too-many-unknown-jobs",
                    math.ceil(wait.total_seconds()),
                )
            case job_store.NoResultReason.OUTCOME_UNKNOWN:
                await self._refuse_cancel(exchange, job, 504, outcome.value)
            case job_store.NoResultReason():
                await self._refuse_cancel(
                    exchange, job, 503, outcome.value, RETRY_AFTER_S
                )

    async def _refuse_cancel(
        self,
        exchange: server.Exchange,
        job: ids.JobId,
        status: int,
        reason: str,
        retry_after: int | None = None,
    ) -> None:
        logs.emit(events.IntakeEvent.CANCEL_REFUSED, job=job, reason=reason)
        await self._refuse(exchange, status, reason, retry_after)

    async def _deny(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        denial: accesses.Denial,
    ) -> None:
        logs.emit(
            events.IntakeEvent.ACCESS_DENIED,
            method=exchange.head.method,
            queue=queue.queue,
            reason=denial.value,
        )
        self.metrics.count("access_denied_total", reason=denial.value)
        match denial:
            case accesses.Denial.UNKNOWN_KEY:
                await self._refuse(exchange, 401, denial.value)
            case accesses.Denial.CONFIGURATION_OUTDATED:
                await self._refuse(exchange, 503, denial.value, RETRY_AFTER_S)

    async def _pending(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        deadline: datetime.timedelta,
    ) -> None:
        length = await self.jobs.waiting_jobs_count(queue.queue, deadline)
        unavailable = isinstance(length, job_store.NoResultReason)
        self.metrics.count(
            "queue_lengths_total",
            result=length.value if unavailable else "told",
        )
        if unavailable:
            await self._refuse_store_unavailable(exchange)
            return
        await exchange.respond(
            status=200, body=self.call_format.pending_body(length)
        )

    def _log_submission(
        self,
        event: events.IntakeEvent,
        queue: deployment.Queue,
        job: ids.JobId,
        **fields: typing.Any,
    ) -> None:
        self.metrics.count(
            "submissions_total", queue=queue.queue, result=event.name.lower()
        )
        logs.emit(event, job=job, queue=queue.queue, **fields)

    async def _refuse_store_unavailable(
        self, exchange: server.Exchange
    ) -> None:
        await self._refuse(exchange, 503, "store-unavailable", RETRY_AFTER_S)

    async def _refuse(
        self,
        exchange: server.Exchange,
        status: int,
        reason: str,
        retry_after: int | None = None,
    ) -> None:
        self.metrics.count("refusals_total", status=str(status))
        headers = []
        if retry_after is not None:
            headers.append((b"retry-after", str(retry_after).encode()))
        document = b'{"error":"%s"}' % reason.replace('"', "'").encode()
        await exchange.respond(status=status, body=document, headers=headers)
