"""Tests of queues whose workers an advisor has to approve."""

import asyncio
import dataclasses
import datetime

from standins import batch_worker
from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal.dispatch import advice as advices
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
NOW = datetime.timedelta(seconds=1000)
TERMS = deployment.AdvisorTerms(
    decision=30 * MS, each_worker=2 * MS, validity=3000 * MS
)
CONFIGURATION = dataclasses.replace(
    fakes.CONFIGURATION,
    queues=(dataclasses.replace(fakes.QUEUE, advisor=TERMS),),
)


class AdvisedSite:
    """A dispatcher with reachable workers and an advised queue."""

    def __init__(self, *names):
        self.dispatcher = dispatchers.Dispatcher(
            timing=fakes.TIMING, configuration=CONFIGURATION
        )
        self.workers = [ids.WorkerId(name) for name in names]
        for name in names:
            self.dispatcher.set_entry(fakes.entry(name), NOW)
            worker = self.dispatcher.workers[ids.WorkerId(name)]
            fake = batch_worker.BatchWorker()
            report = fake.renew(
                orders.Renewal(token=ids.FencingToken(1), acknowledged=0)
            )
            self.dispatcher.settlement.apply_report(
                worker, report, requested_at=1, now=NOW
            )

    def submit(self, spec):
        self.dispatcher.add_job(
            progresses.Progress(spec=spec), now=NOW, wall=NOW
        )

    def ask(self, allowed, now=NOW):
        """Answer the next question with tickets for the allowed workers.

        Returns the question, or None if there is none.
        """
        question = self.dispatcher.next_question(now, now)
        if question is None:
            return None
        tickets = {
            worker: f"t-{worker}"
            for worker in question.workers
            if worker in allowed
        }
        self.dispatcher.run_tracker.advice.take(
            question,
            orders.Advice(tickets=tickets, validity=TERMS.validity),
            now,
        )
        return question

    def starts(self, now=NOW):
        """Place and commit; return the worker and ticket of each start."""
        self.dispatcher.place(now, now, 100)
        saves = self.dispatcher.next_saves(100)
        return [
            (order.worker, order.ticket)
            for order in self.dispatcher.committed(saves, now)
        ]


class TestAdvisedQueue:
    """Tasks of an advised queue start only with a ticket for their worker."""

    def test_nothing_starts_without_advice(self):
        """Guards against starts without a ticket, which workers refuse."""
        site = AdvisedSite("a", "b")
        site.submit(fakes.job())
        assert site.starts() == []

    def test_starts_carry_the_ticket_of_their_worker(self):
        """Guards against starts without a ticket although one was given.

        Workers refuse such starts, so that the jobs would never run.
        """
        site = AdvisedSite("a", "b")
        site.submit(fakes.job("0" * 16, fakes.step(3)))
        site.ask({"b"})
        assert site.starts() == [("b", "t-b")] * 3

    def test_one_question_about_many_workers(self):
        """Guards against a long wait before the first start.

        Asking about one worker at a time would delay it.
        """
        site = AdvisedSite(*(f"w{number}" for number in range(80)))
        site.submit(fakes.job())
        question = site.ask(set())
        assert len(question.workers) == advices.QUESTION_WORKERS_MAX
        # No worker was approved, so that the next questions are about the
        # other workers, once for each.
        asked = set(question.workers)
        while (question := site.ask(set())) is not None:
            assert not asked & set(question.workers)
            asked |= set(question.workers)
        assert len(asked) == 80

    def test_no_question_once_all_tasks_have_started(self):
        """Guards against questions about steps without waiting tasks."""
        site = AdvisedSite("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.starts()
        assert site.ask({"a"}) is None

    def test_expired_ticket(self):
        """Guards against a start with an expired ticket."""
        site = AdvisedSite("a")
        site.submit(fakes.job())
        site.ask({"a"})
        later = NOW + TERMS.validity
        assert site.starts(later) == []
        assert list(site.ask({"a"}, later).workers) == ["a"]
        assert site.starts(later) == [("a", "t-a")]

    def test_refused_ticket_is_asked_for_again(self):
        """Guards against offering a refused ticket again and again.

        The worker keeps refusing the task, which then never runs.
        """
        site = AdvisedSite("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.starts()
        worker = site.dispatcher.workers[ids.WorkerId("a")]
        run = next(iter(worker.runs.values()))
        site.dispatcher.settlement.apply_start_outcome(
            worker,
            run,
            orders.Refused(reason=orders.RefusalReason.NO_TICKET),
            NOW,
        )
        assert site.starts() == []
        assert site.ask({"a"}) is not None
        assert site.starts() == [("a", "t-a")]

    def test_answers_of_an_ended_job_are_removed(self):
        """Guards against memory use that grows with each job."""
        site = AdvisedSite("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.dispatcher.cancel(ids.JobId("00000000000000aa"), NOW)
        assert not site.dispatcher.run_tracker.advice.by_step


class FakeAdvisor:
    """Fails twice, then allows one worker."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.failures = 2
        self.closed = False

    async def advise(self, question):
        if self.failures:
            self.failures -= 1
            raise exceptions.AdvisorUnavailableError(message="status 429")
        return orders.Advice(
            tickets={w: "t" for w in question.workers if w == self.allowed},
            validity=3000 * MS,
        )

    def close(self):
        self.closed = True


class TestAdvisorLost:
    """The advisor is unavailable at first."""

    def test_job_runs_once_it_answers(self):
        """Guards against a leader that does not ask again after a failure."""

        async def scenario():
            site = test_leader.Site("w1", "w2")
            site.configuration = CONFIGURATION
            site.advisor = FakeAdvisor("w2")
            site.submit(fakes.job())
            term, running = await site.lead()
            workers = site.workers.workers
            await site.until(lambda: workers["w2"].starts)
            workers["w2"].end(test_leader.TASK, model.EndKind.DONE)
            await site.until(
                lambda: (
                    site.state(test_leader.TASK.job)
                    is model.JobState.COMPLETED
                )
            )
            term.end("test")
            await running
            return workers["w1"].starts, site.advisor.closed

        assert asyncio.run(scenario()) == ([], True)
