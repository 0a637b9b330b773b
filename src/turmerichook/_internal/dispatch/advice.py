"""Which workers may run a step, where a queue's policy restricts them.

The advisor answers one question at a time, about one step and some workers.
Its answer holds for all tasks of the step in a worker's incarnation, but the
ticket that a start must carry is only valid for a while.
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

# Workers in one question: the platform reckons with one call of this size a
# step, and each further worker delays the answer.
WORKERS_ASKED = 30
# Time from the choice of a worker until its start has arrived there.
START_TIME = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass(kw_only=True, slots=True)
class Opinion:
    """What the advisor said of a worker.

    :param ticket: empty if the worker may not run the step.
    :param until: our time at which the ticket ends.
    """

    incarnation: int
    ticket: str
    until: datetime.timedelta

    def usable(self, now: datetime.timedelta) -> bool:
        """Tell whether a start that is decided now arrives in time."""
        return bool(self.ticket) and now + START_TIME < self.until


class AdviceBook:
    """The advisor's answers for steps with tasks left to start."""

    def __init__(self):
        self.opinions: dict[model.StepKey, dict[ids.WorkerId, Opinion]] = {}

    def approved(
        self, key: model.StepKey, now: datetime.timedelta
    ) -> frozenset[ids.WorkerId]:
        """Return the workers for which a usable ticket is at hand."""
        known = self.opinions.get(key, {})
        return frozenset(w for w, o in known.items() if o.usable(now))

    def ticket(
        self,
        key: model.StepKey,
        worker: fleet.Worker,
        now: datetime.timedelta,
    ) -> str:
        """Return the ticket for a start on a worker, or an empty text."""
        found = self.opinions.get(key, {}).get(worker.worker)
        if found is None or found.incarnation != worker.incarnation:
            return ""
        return found.ticket if now < found.until else ""

    def next_question(
        self,
        *,
        steps: collections.abc.Iterable[waiting_step.WaitingStep],
        workers: collections.abc.Collection[fleet.Worker],
        closed: collections.abc.Container[ids.ZoneId],
        now: datetime.timedelta,
    ) -> orders.Question | None:
        """Return what to ask next, for the first step that needs an answer.

        :param steps: with waiting tasks, the most urgent first. One that
            still waits has no room on the workers that are known to be good.
        """
        for step in steps:
            terms = step.job.queue.advisor
            if terms is None:
                continue
            known = self.opinions.get(step.key, {})
            conditions = obstacles.Conditions(
                step=step.step,
                service=step.job.queue.service,
                closed=closed,
                approved=None,
                on_worker={},
                now=now,
            )
            asked = [
                worker
                for worker in workers
                if _worth_asking(known.get(worker.worker), worker, now)
                and conditions.allow(worker)
            ]
            if asked:
                asked.sort(key=placement.load)
                return orders.Question(
                    step=step.key,
                    workers={
                        worker.worker: worker.incarnation
                        for worker in asked[:WORKERS_ASKED]
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
        """Note an answer.

        :param now: when the question was sent, since the validity may count
            from any moment after.
        """
        known = self.opinions.setdefault(question.step, {})
        for worker, incarnation in question.workers.items():
            known[worker] = Opinion(
                incarnation=incarnation,
                ticket=advice.tickets.get(worker, ""),
                until=now + advice.validity,
            )

    def refused(self, key: model.StepKey, worker: ids.WorkerId) -> None:
        """Note that a worker did not take a ticket; it is asked for again."""
        self.opinions.get(key, {}).pop(worker, None)

    def drop(self, job: ids.JobId) -> None:
        """Forget the steps of a job."""
        for key in [key for key in self.opinions if key.job == job]:
            del self.opinions[key]


def _worth_asking(
    opinion: Opinion | None, worker: fleet.Worker, now: datetime.timedelta
) -> bool:
    if opinion is None or opinion.incarnation != worker.incarnation:
        return True
    return bool(opinion.ticket) and not opinion.usable(now)
