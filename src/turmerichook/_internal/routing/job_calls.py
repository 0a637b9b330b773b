"""HTTP handlers for submission, cancellation and status of jobs."""

from turmerichook._internal.configuration import distribution
from turmerichook._internal.http import server
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.routing import events
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import submission
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

JOB_PREFIX = "/v1/jobs/"
CANCEL_PATH = "/v1/cancellations"


class JobCalls:
    """Handlers of ``/v1/jobs`` and ``/v1/cancellations``."""

    def __init__(
        self,
        *,
        submissions: submission.Submissions,
        subscription: distribution.Subscription,
    ):
        self.submissions = submissions
        self.subscription = subscription

    async def submit(self, exchange: server.Exchange) -> None:
        """Accept a job once it is stored durably."""
        body = await exchange.read_all()
        try:
            record = await self.submissions.submit(
                body, self.subscription.configuration
            )
        except exceptions.TurmerichookError as error:
            await refuse(exchange, _refusal(error))
            return
        logs.emit(
            events.RoutingEvent.JOB_ACCEPTED,
            job=record.spec.job,
            home=record.home,
        )
        await exchange.respond_json(document=_document(record), status=202)

    async def cancel(self, exchange: server.Exchange) -> None:
        """Accept a batch of job cancellations once it is stored durably."""
        body = await exchange.read_all()
        try:
            cancellation = await self.submissions.cancel(body)
        except exceptions.TurmerichookError as error:
            await refuse(exchange, _refusal(error))
            return
        logs.emit(
            events.RoutingEvent.JOBS_CANCELLED, jobs=len(cancellation.jobs)
        )
        await exchange.respond_json(
            document={"jobs": list(cancellation.jobs)}, status=202
        )

    async def show(self, exchange: server.Exchange) -> None:
        """Respond with the record of a job."""
        name = exchange.head.path.removeprefix(JOB_PREFIX)
        try:
            record = await self.submissions.find(ids.JobId(name))
        except exceptions.TurmerichookError as error:
            await refuse(exchange, _refusal(error))
            return
        await exchange.respond_json(document=_document(record))


async def refuse(exchange: server.Exchange, refusal: refusals.Refusal) -> None:
    """Log a refusal and send it to the caller."""
    logs.emit(
        events.RoutingEvent.REQUEST_REFUSED,
        target=ascii(exchange.head.path[:80]),
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


def _refusal(error: exceptions.TurmerichookError) -> refusals.Refusal:
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
