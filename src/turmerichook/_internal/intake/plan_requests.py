"""Answers operators' questions where a job would go now.

The request holds what a caller would send; it is decoded as a submission, and
nothing is stored or sent.
"""

import collections.abc
import datetime
import typing
import urllib.parse

from turmerichook._internal import clock as clocks
from turmerichook._internal.dispatch import leader as leaders
from turmerichook._internal.dispatch import planning
from turmerichook._internal.http import server
from turmerichook._internal.intake import access as accesses
from turmerichook._internal.intake import callers
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook import exceptions

PATH = "/plan"
# Id of the job in the plan; no job with it is stored or looked up.
PLANNED_JOB = ids.JobId("0" * 16)


class PlanHandler:
    """Request handler for plans of jobs.

    :param configuration: returns the configuration in force, or None.
    :param leader: returns the leader of this process, or None.
    """

    def __init__(
        self,
        *,
        call_format: callers.CallFormat,
        configuration: collections.abc.Callable[
            [], deployment.Configuration | None
        ],
        access: accesses.Access,
        leader: collections.abc.Callable[[], leaders.Leader | None],
        clock: clocks.Clock,
    ):
        self.call_format = call_format
        self.configuration = configuration
        self.access = access
        self.leader = leader
        self.clock = clock

    async def handle(self, exchange: server.Exchange) -> None:
        """Respond to one request."""
        configuration, leader = self.configuration(), self.leader()
        body = await exchange.read_all()
        if exchange.head.method != "POST":
            await _refuse(exchange, 405, "method-not-allowed")
        elif configuration is None:
            await _refuse(exchange, 503, "no-configuration")
        elif leader is None:
            await _refuse(exchange, 409, "not-leading")
        else:
            await self._plan(exchange, configuration, leader, body)

    async def _plan(
        self,
        exchange: server.Exchange,
        configuration: deployment.Configuration,
        leader: leaders.Leader,
        body: bytes,
    ) -> None:
        query = dict(urllib.parse.parse_qsl(exchange.head.query))
        queue = configuration.find(
            query.get("host", ""), query.get("path", "")
        )
        if queue is None:
            await _refuse(exchange, 404, "no-such-queue")
            return
        key = self.call_format.key(exchange.head)
        customer = self.access.check(key, queue, configuration)
        if isinstance(customer, accesses.Denial):
            await _refuse(exchange, 403, customer.value)
            return
        try:
            spec = self.call_format.submission(
                body,
                job=PLANNED_JOB,
                queue=queue,
                customer=customer.customer if customer else callers.NOBODY,
                accepted=datetime.timedelta(
                    seconds=self.clock.now().timestamp()
                ),
            )
        except exceptions.MessageError as error:
            await _refuse(exchange, 400, error.message)
            return
        plan = leader.plan(spec)
        if plan is None:
            await _refuse(exchange, 503, "leader-outdated")
            return
        refusal = ""
        if len(body) > configuration.body_bytes:
            refusal = "body-too-large"
        elif customer and accesses.exceeds_quota(spec, customer):
            refusal = "exceeds-quota"
        await exchange.respond_json(
            document={
                "queue": queue.queue,
                "customer": spec.customer,
                "accepted": not refusal,
                "refusal": refusal,
                **_document(plan),
            }
        )


def _document(plan: planning.JobPlan) -> dict[str, typing.Any]:
    return {
        "priority": plan.priority,
        "waiting_steps": plan.waiting_steps,
        "critical_path_ms": plan.critical_path // clocks.MILLISECOND,
        "objective_ms": plan.objective // clocks.MILLISECOND,
        "steps": [
            {
                "step": step.step,
                "tasks": step.tasks,
                "after": list(step.after),
                "position": step.position,
                "startable": step.startable,
                "workers": list(step.workers),
                "obstacles": step.obstacles,
            }
            for step in plan.steps
        ],
    }


async def _refuse(exchange: server.Exchange, status: int, reason: str) -> None:
    await exchange.respond_json(document={"error": reason}, status=status)
