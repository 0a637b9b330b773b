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
import typing

from turmerichook._internal.dispatch import eligibility
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
NEVER = datetime.timedelta.max


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
        return bool(self.ticket) and now < self.last_use

    @property
    def last_use(self) -> datetime.timedelta:
        """Time from which a start that is decided arrives after expiry."""
        return self.until - START_DELIVERY_TIME


class _Complete(typing.NamedTuple):
    """A step for which no answer was missing.

    :param position: position in the log of eligibility changes at that time.
    :param next_expiry: when the first of the step's tickets expires.
    :param service: service whose workers were checked.
    """

    position: int
    next_expiry: datetime.timedelta
    service: ids.ServiceId


class AdviceCache:
    """The advisor's answers by step and worker, for jobs not yet ended."""

    def __init__(self):
        self.by_step: dict[
            model.StepKey, dict[ids.WorkerId, WorkerAdvice]
        ] = {}
        # Number of times that answers for a step have been stored.
        self.answer_counts: dict[model.StepKey, int] = {}
        self.eligibility = eligibility.EligibilityLog()
        self.complete: dict[model.StepKey, _Complete] = {}

    def answer_count(self, key: model.StepKey) -> int:
        """Return how often answers for a step have been stored."""
        return self.answer_counts.get(key, 0)

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
        self.eligibility.update(workers, closed, now)
        for step in steps:
            terms = step.job.queue.advisor
            if terms is None:
                continue
            unanswered = self._unanswered(step, workers, closed, now)
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

    def _unanswered(
        self,
        step: waiting_step.WaitingStep,
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> list[fleet.Worker]:
        """Return the workers that could run a step and have no answer.

        Once no answer is missing, only workers whose eligibility has changed
        are checked again, until a ticket expires.
        """
        answers = self.by_step.get(step.key, {})
        service = step.job.queue.service
        complete = self.complete.get(step.key)
        to_check: collections.abc.Iterable[fleet.Worker] = workers
        next_expiry = NEVER
        if (
            complete is not None
            and complete.service == service
            and now < complete.next_expiry
            and complete.position >= self.eligibility.dropped
        ):
            to_check = self.eligibility.changed_since(complete.position)
            next_expiry = complete.next_expiry
        else:
            next_expiry = min(
                (a.last_use for a in answers.values() if a.usable(now)),
                default=NEVER,
            )
        conditions = obstacles.Conditions(
            step=step.step,
            service=service,
            closed=closed,
            approved=None,
            on_worker={},
            now=now,
        )
        unanswered = [
            worker
            for worker in to_check
            if _needs_answer(answers.get(worker.worker), worker, now)
            and conditions.allow(worker)
        ]
        if not unanswered:
            self.complete[step.key] = _Complete(
                position=self.eligibility.position,
                next_expiry=next_expiry,
                service=service,
            )
        return unanswered

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
        self.store(
            question.step,
            {
                worker: WorkerAdvice(
                    incarnation=incarnation,
                    ticket=advice.tickets.get(worker, ""),
                    until=now + advice.validity,
                )
                for worker, incarnation in question.workers.items()
            },
        )

    def store(
        self,
        key: model.StepKey,
        answers: collections.abc.Mapping[ids.WorkerId, WorkerAdvice],
    ) -> None:
        """Add answers for a step, or replace former ones."""
        self.by_step.setdefault(key, {}).update(answers)
        self.answer_counts[key] = self.answer_count(key) + 1
        self.complete.pop(key, None)

    def refused(self, key: model.StepKey, worker: ids.WorkerId) -> None:
        """Discard a ticket that a worker refused, to ask for a new one."""
        self.by_step.get(key, {}).pop(worker, None)
        self.complete.pop(key, None)

    def drop(self, job: ids.JobId) -> None:
        """Remove the answers for all steps of a job."""
        for by_key in (self.by_step, self.answer_counts, self.complete):
            for key in [key for key in by_key if key.job == job]:
                del by_key[key]


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
