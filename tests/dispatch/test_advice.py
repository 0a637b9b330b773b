"""Tests of queues whose policy allows only some workers."""

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


class Advised:
    """A dispatcher with workers and an advised queue."""

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
            self.dispatcher.settlement.take_report(
                worker, report, asked=1, now=NOW
            )

    def submit(self, spec):
        self.dispatcher.add_job(
            progresses.Progress(spec=spec), now=NOW, wall=NOW
        )

    def ask(self, good, now=NOW):
        """Ask the next question and take an answer."""
        question = self.dispatcher.next_question(now, now)
        if question is None:
            return None
        tickets = {
            worker: f"t-{worker}"
            for worker in question.workers
            if worker in good
        }
        self.dispatcher.book.advice.take(
            question,
            orders.Advice(tickets=tickets, validity=TERMS.validity),
            now,
        )
        return question

    def starts(self, now=NOW):
        """Place, commit, and return worker and ticket of each start."""
        self.dispatcher.place(now, now, 100)
        saves = self.dispatcher.next_saves(100)
        return [
            (order.worker, order.ticket)
            for order in self.dispatcher.committed(saves, now)
        ]


class TestAdvisedQueue:
    """Pattern: a policy that only the advisor knows."""

    def test_nothing_starts_without_advice(self):
        """Guards against starts that each worker refuses."""
        site = Advised("a", "b")
        site.submit(fakes.job())
        assert site.starts() == []

    def test_starts_carry_the_ticket_of_their_worker(self):
        """Guards against jobs of an advised queue that never run."""
        site = Advised("a", "b")
        site.submit(fakes.job("0" * 16, fakes.step(3)))
        site.ask({"b"})
        assert site.starts() == [("b", "t-b")] * 3

    def test_one_question_about_many_workers(self):
        """Guards against a long wait before the first start."""
        site = Advised(*(f"w{number}" for number in range(80)))
        site.submit(fakes.job())
        question = site.ask(set())
        assert len(question.workers) == advices.QUESTION_WORKERS_MAX
        # Nobody was good: the next ones are asked about, each once.
        asked = set(question.workers)
        while (question := site.ask(set())) is not None:
            assert not asked & set(question.workers)
            asked |= set(question.workers)
        assert len(asked) == 80

    def test_no_question_once_all_tasks_have_started(self):
        """Guards against calls that nobody needs."""
        site = Advised("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.starts()
        assert site.ask({"a"}) is None

    def test_expired_ticket(self):
        """Guards against a start with a ticket that is no longer valid."""
        site = Advised("a")
        site.submit(fakes.job())
        site.ask({"a"})
        later = NOW + TERMS.validity
        assert site.starts(later) == []
        assert list(site.ask({"a"}, later).workers) == ["a"]
        assert site.starts(later) == [("a", "t-a")]

    def test_refused_ticket_is_asked_for_again(self):
        """Guards against a task that is offered with it for ever."""
        site = Advised("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.starts()
        worker = site.dispatcher.workers[ids.WorkerId("a")]
        run = next(iter(worker.runs.values()))
        site.dispatcher.settlement.take_start_outcome(
            worker,
            run,
            orders.Refused(reason=orders.RefusalReason.NO_TICKET),
            NOW,
        )
        assert site.starts() == []
        assert site.ask({"a"}) is not None
        assert site.starts() == [("a", "t-a")]

    def test_ended_job_is_forgotten(self):
        """Guards against memory that grows with each job."""
        site = Advised("a")
        site.submit(fakes.job())
        site.ask({"a"})
        site.dispatcher.cancel(ids.JobId("00000000000000aa"), NOW)
        assert not site.dispatcher.book.advice.by_step


class FakeAdvisor:
    """Fails a few times, then allows one worker."""

    def __init__(self, good):
        self.good = good
        self.failures = 2
        self.closed = False

    async def advise(self, question):
        if self.failures:
            self.failures -= 1
            raise exceptions.AdvisorUnavailableError(message="status 429")
        return orders.Advice(
            tickets={w: "t" for w in question.workers if w == self.good},
            validity=3000 * MS,
        )

    def close(self):
        self.closed = True


class TestAdvisorLost:
    """An advisor that does not answer for a while."""

    def test_job_runs_once_it_answers(self):
        """Guards against a leader that asks only once."""

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
