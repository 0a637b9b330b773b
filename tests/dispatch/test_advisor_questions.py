"""Compares the choice of questions with a check of all steps and workers."""

import dataclasses
import datetime
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_advice
from turmerichook._internal.dispatch import advice as advices
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids

MS = datetime.timedelta(milliseconds=1)
NAMES = [f"w{number}" for number in range(8)]
ROUNDS = 400


def _unanswered(site, now):
    """Return the steps and workers without an answer, from all of them."""
    dispatcher = site.dispatcher
    cache = dispatcher.run_tracker.advice
    unanswered = {}
    for step in dispatcher.waiting.steps.values():
        conditions = obstacles.Conditions(
            step=step.step,
            service=step.job.queue.service,
            closed=dispatcher.closed_zones,
            approved=None,
            on_worker={},
            now=now,
        )
        workers = {
            worker.worker
            for worker in dispatcher.workers.values()
            if advices._needs_answer(
                cache.by_step.get(step.key, {}).get(worker.worker), worker, now
            )
            and conditions.allow(worker)
        }
        if workers:
            unanswered[step.key] = workers
    return unanswered


class RandomSite:
    """An advised queue whose workers and answers change at random."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = test_advice.NOW
        self.site = test_advice.AdvisedSite(*NAMES)
        self.dispatcher = self.site.dispatcher
        self.jobs = 0
        self.incarnation = 1

    def submit(self):
        self.jobs += 1
        spec = fakes.job(f"{self.jobs:016x}", fakes.step(3), accepted=self.now)
        self.site.submit(spec)

    def answer(self):
        question = self.dispatcher.next_question(self.now, self.now)
        if question is None:
            return
        tickets = {
            worker: "t"
            for worker in question.workers
            if self.random.random() < 0.3
        }
        validity = self.random.randint(400, 2000) * MS
        self.dispatcher.run_tracker.advice.take(
            question,
            orders.Advice(tickets=tickets, validity=validity),
            self.now,
        )

    def change_worker(self):
        name = self.random.choice(NAMES)
        worker = self.dispatcher.workers[ids.WorkerId(name)]
        match self.random.randrange(5):
            case 0:
                worker.listed = not worker.listed
            case 1:
                worker.reachable = not worker.reachable
            case 2:
                worker.no_room_until = self.now + 300 * MS
            case 3:
                self.incarnation += 1
                entry = dataclasses.replace(
                    worker.entry,
                    incarnation=self.incarnation,
                    state=self.random.choice(list(deployment.WorkerState)),
                )
                self.dispatcher.set_entry(entry, self.now)
                worker.report_received = True
            case 4:
                for cached in list(worker.runs):
                    worker.remove(cached)

    def refuse(self):
        cache = self.dispatcher.run_tracker.advice
        if cache.by_step:
            key = self.random.choice(list(cache.by_step))
            cache.refused(key, ids.WorkerId(self.random.choice(NAMES)))

    def close_zone(self):
        zone = self.dispatcher.workers[ids.WorkerId(NAMES[0])].entry.zone
        self.dispatcher.closed_zones ^= {zone}

    def place(self):
        self.site.starts(self.now)

    def step(self):
        """Apply a random event, and let some time pass."""
        actions = (
            (2, self.submit),
            (6, self.answer),
            (4, self.change_worker),
            (2, self.refuse),
            (1, self.close_zone),
            (3, self.place),
        )
        weights, functions = zip(*actions)
        self.random.choices(functions, weights)[0]()
        self.now += self.random.randint(0, 120) * MS


class TestAdvisorQuestions:
    """Answers that are known to be complete are not checked again."""

    @pytest.mark.parametrize("seed", range(12))
    def test_every_missing_answer_is_asked_for(self, seed):
        """Guards against tasks that wait because no question is asked.

        A step whose answers were complete was skipped although a worker had
        returned, restarted, or its ticket had expired or been refused.
        """
        site = RandomSite(seed)
        asked = 0
        for _ in range(ROUNDS):
            site.step()
            unanswered = _unanswered(site.site, site.now)
            question = site.dispatcher.next_question(site.now, site.now)
            if question is None:
                assert not unanswered
                continue
            asked += 1
            assert set(question.workers) == unanswered[question.step]
        assert asked > ROUNDS / 10

    def test_late_approval_places_a_step_that_fitted_nowhere(self):
        """Guards against a step that stays unplaced after its approval.

        No worker changes when the advisor's answer arrives, so that a step
        that is only checked against changed workers would wait for the next
        change.
        """
        site = test_advice.AdvisedSite("a", "b")
        site.submit(fakes.job("0" * 16, fakes.step(2)))
        for _ in range(3):
            assert site.starts() == []
        site.ask({"b"})
        assert site.starts() == [("b", "t-b")] * 2
