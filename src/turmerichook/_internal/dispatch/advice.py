"""Answers of the advisor on which workers may run a step.

A queue with a policy restricts the workers of its tasks, and only the advisor
knows the policy. The advisor answers one question at a time, about one step
and several workers. The answer for a worker applies to all tasks of the step
until the worker restarts under a new incarnation. A start must carry the
ticket from the answer, and the ticket is only valid for a limited time.
"""

import collections.abc
import dataclasses
import datetime

from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import orders
from turmerichook._internal.dispatch import placement
from turmerichook._internal.dispatch import waiting_step
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

# Maximum number of workers in one question: the platform expects one call of
# this size for each step, and each further worker delays the answer.
QUESTION_WORKERS_MAX = 30
# Time from the choice of a worker until the start arrives at the worker.
START_DELIVERY_TIME = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerAdvice:
    """The advisor's answer on one step and one worker.

    :param incarnation: incarnation of the worker that was asked about.
    :param ticket: ticket for starts; empty if the worker may not run the step.
    :param until: time on the leader's clock at which the ticket expires.
    """

    incarnation: int
    ticket: str
    until: datetime.timedelta

    def usable(self, now: datetime.timedelta) -> bool:
        """Return whether a start decided now arrives before expiry."""
        return bool(self.ticket) and now + START_DELIVERY_TIME < self.until


class AdviceCache:
    """The advisor's answers by step and worker, for jobs not yet ended."""

    def __init__(self):
        self.by_step: dict[
            model.StepKey, dict[ids.WorkerId, WorkerAdvice]
        ] = {}

    def approved(
        self, key: model.StepKey, now: datetime.timedelta
    ) -> frozenset[ids.WorkerId]:
        """Return the workers for which there is a usable ticket."""
        answers = self.by_step.get(key, {})
        return frozenset(
            worker
            for worker, worker_advice in answers.items()
            if worker_advice.usable(now)
        )

    def ticket(
        self,
        key: model.StepKey,
        worker: fleet.Worker,
        now: datetime.timedelta,
    ) -> str:
        """Return the ticket for a start on a worker, or an empty string."""
        worker_advice = self.by_step.get(key, {}).get(worker.worker)
        if (
            worker_advice is None
            or worker_advice.incarnation != worker.incarnation
        ):
            return ""
        return worker_advice.ticket if now < worker_advice.until else ""

    def next_question(
        self,
        *,
        steps: collections.abc.Iterable[waiting_step.WaitingStep],
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> orders.Question | None:
        """Return the next question, or None if no answer is missing.

        The question is about the first step that any worker without a current
        answer could run.

        :param steps: steps with waiting tasks, the most urgent first. A step
            that still waits does not fit on the workers already approved.
        """
        for step in steps:
            terms = step.job.queue.advisor
            if terms is None:
                continue
            answers = self.by_step.get(step.key, {})
            conditions = obstacles.Conditions(
                step=step.step,
                service=step.job.queue.service,
                closed=closed,
                approved=None,
                on_worker={},
                now=now,
            )
            unanswered = [
                worker
                for worker in workers
                if _needs_answer(answers.get(worker.worker), worker, now)
                and conditions.allow(worker)
            ]
            if unanswered:
                unanswered.sort(key=placement.load)
                return orders.Question(
                    step=step.key,
                    workers={
                        worker.worker: worker.incarnation
                        for worker in unanswered[:QUESTION_WORKERS_MAX]
                    },
                    terms=terms,
                )
        return None

    def take(
        self,
        question: orders.Question,
        advice: orders.Advice,
        now: datetime.timedelta,
    ) -> None:
        """Store an answer.

        :param now: when the question was sent. The advisor may count the
            validity from any later time, so that this is the safe choice.
        """
        answers = self.by_step.setdefault(question.step, {})
        for worker, incarnation in question.workers.items():
            answers[worker] = WorkerAdvice(
                incarnation=incarnation,
                ticket=advice.tickets.get(worker, ""),
                until=now + advice.validity,
            )

    def refused(self, key: model.StepKey, worker: ids.WorkerId) -> None:
        """Discard a ticket that a worker refused, to ask for a new one."""
        self.by_step.get(key, {}).pop(worker, None)

    def drop(self, job: ids.JobId) -> None:
        """Remove the answers for all steps of a job."""
        for key in [key for key in self.by_step if key.job == job]:
            del self.by_step[key]


def _needs_answer(
    worker_advice: WorkerAdvice | None,
    worker: fleet.Worker,
    now: datetime.timedelta,
) -> bool:
    if (
        worker_advice is None
        or worker_advice.incarnation != worker.incarnation
    ):
        return True
    return bool(worker_advice.ticket) and not worker_advice.usable(now)
