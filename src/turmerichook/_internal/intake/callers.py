"""Answers callers: submission, state, cancellation and queue length."""

import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook._internal.intake import events
from turmerichook._internal.intake import job_store
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.metrics import registry
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook import exceptions

# An answer must leave this long before the caller stops waiting.
ANSWER_MARGIN = datetime.timedelta(milliseconds=250)
# A caller that gets no result for this long is better served by another
# entry process, so that it is told to try again. One call to the store that
# falls silent lasts about as long.
PATIENCE = datetime.timedelta(milliseconds=1100)
# When to come back after a failure of the store; most last a few seconds,
# and other entry processes may not be concerned.
RETRY_AFTER_S = 1


class CallFormat(typing.Protocol):
    """How callers' requests and the answers to them are written."""

    def timeout(self, head: heads.RequestHead) -> datetime.timedelta:
        """Return how long the caller waits."""

    def host_name(self, head: heads.RequestHead) -> str:
        """Return the host that the request is for."""

    def job_id(self, path: str, queue: deployment.Queue) -> ids.JobId:
        """Return the job that a path names, empty for the queue itself."""

    def submission(
        self,
        body: bytes,
        *,
        job: ids.JobId,
        queue: deployment.Queue,
        accepted: datetime.timedelta,
    ) -> model.JobSpec:
        """Return the job of a submission."""

    def state_body(self, state: model.JobState) -> bytes:
        """Return the answer to a question for a job's state."""

    def pending_body(self, count: int) -> bytes:
        """Return the answer to a question for a queue's length."""


class Callers:
    """Handler of the callers' listener."""

    def __init__(
        self,
        *,
        form: CallFormat,
        jobs: job_store.JobStore,
        configuration: typing.Callable[[], deployment.Configuration | None],
        reachable: typing.Callable[[], bool],
        metrics: registry.Registry,
        clock: clocks.Clock,
    ):
        self.form = form
        self.jobs = jobs
        self.configuration = configuration
        self.reachable = reachable
        self.metrics = metrics
        self.clock = clock

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        began = self.clock.monotonic()
        head = exchange.head
        configuration = self.configuration()
        if configuration is None:
            await exchange.read_all()
            await self._refuse(
                exchange, 503, "no-configuration", RETRY_AFTER_S
            )
            return
        queue = configuration.find(self.form.host_name(head), head.path)
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
        patience = min(self.form.timeout(head) - ANSWER_MARGIN, PATIENCE)
        until = began + patience
        try:
            job = self.form.job_id(head.path, queue)
            await self._route(exchange, queue, job, until)
        except exceptions.BodyTooLargeError as error:
            await self._refuse(exchange, 413, error.reference)
        except exceptions.MessageError as error:
            logs.emit(
                events.IntakeEvent.REQUEST_MALFORMED,
                method=head.method,
                path=head.path[:60],
                error=str(error),
            )
            await self._refuse(exchange, 400, error.message)
        elapsed = self.clock.monotonic() - began
        self.metrics.observe(
            "request_seconds", elapsed.total_seconds(), method=head.method
        )

    async def _route(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        job: ids.JobId,
        until: datetime.timedelta,
    ) -> None:
        match exchange.head.method:
            case "POST" if job:
                await self._submit(exchange, queue, job, until)
            case "GET" if job:
                await self._state(exchange, job, until)
            case "GET":
                await self._pending(exchange, queue, until)
            case "DELETE" if job:
                await self._cancel(exchange, job, until)
            case _:
                await exchange.read_all()
                await self._refuse(exchange, 405, "method-not-allowed")

    async def _submit(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        job: ids.JobId,
        until: datetime.timedelta,
    ) -> None:
        body = await exchange.read_all()
        spec = self.form.submission(
            body,
            job=job,
            queue=queue,
            accepted=datetime.timedelta(seconds=self.clock.now().timestamp()),
        )
        if not self.reachable():
            # Nothing is written while the store is known to be away.
            outcome: job_store.Stored | job_store.Unsettled
            outcome = job_store.Unsettled.NOT_STORED
        else:
            outcome = await self.jobs.submit(spec, until)
        match outcome:
            case job_store.Stored(repeated=repeated):
                self._log(
                    events.IntakeEvent.JOB_ACCEPTED,
                    queue,
                    job,
                    repeated=repeated,
                    tasks=sum(step.count for step in spec.steps),
                )
                await exchange.respond(status=200, body=b"{}")
            case job_store.Unsettled.NOT_STORED:
                self._log(
                    events.IntakeEvent.JOB_REFUSED,
                    queue,
                    job,
                    reason=outcome.value,
                )
                await self._refuse_for_store(exchange)
            case _:
                self._log(events.IntakeEvent.JOB_OUTCOME_UNKNOWN, queue, job)
                await self._refuse(exchange, 504, "outcome-unknown")

    async def _state(
        self,
        exchange: server.Exchange,
        job: ids.JobId,
        until: datetime.timedelta,
    ) -> None:
        found = await self.jobs.state(job, until)
        match found:
            case model.JobState():
                logs.emit(
                    events.IntakeEvent.STATE_ANSWERED,
                    job=job,
                    state=found.value,
                )
                await exchange.respond(
                    status=200, body=self.form.state_body(found)
                )
            case job_store.NoSuchJob():
                logs.emit(
                    events.IntakeEvent.STATE_UNANSWERED,
                    job=job,
                    reason="no-such-job",
                )
                await self._refuse(exchange, 410, "no-such-job")
            case job_store.Unsettled():
                logs.emit(
                    events.IntakeEvent.STATE_UNANSWERED,
                    job=job,
                    reason=found.value,
                )
                await self._refuse_for_store(exchange)

    async def _cancel(
        self,
        exchange: server.Exchange,
        job: ids.JobId,
        until: datetime.timedelta,
    ) -> None:
        outcome = await self.jobs.cancel(job, until)
        match outcome:
            case job_store.Stored(repeated=repeated):
                logs.emit(
                    events.IntakeEvent.CANCEL_ACCEPTED,
                    job=job,
                    repeated=repeated,
                )
                await exchange.respond(status=200, body=b"{}")
                return
            case job_store.NoSuchJob():
                reason, status = "no-such-job", 410
            case job_store.Unsettled.OUTCOME_UNKNOWN:
                reason, status = outcome.value, 504
            case _:
                reason, status = outcome.value, 503
        logs.emit(events.IntakeEvent.CANCEL_REFUSED, job=job, reason=reason)
        retry_after = RETRY_AFTER_S if status == 503 else None
        await self._refuse(exchange, status, reason, retry_after)

    async def _pending(
        self,
        exchange: server.Exchange,
        queue: deployment.Queue,
        until: datetime.timedelta,
    ) -> None:
        count = await self.jobs.pending(queue.queue, until)
        refused = isinstance(count, job_store.Unsettled)
        self.metrics.count(
            "queue_lengths_total", result=count.value if refused else "told"
        )
        if refused:
            await self._refuse_for_store(exchange)
            return
        await exchange.respond(status=200, body=self.form.pending_body(count))

    def _log(
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

    async def _refuse_for_store(self, exchange: server.Exchange) -> None:
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
