"""Placement beside the full ranking, where configuration and time vary."""

import dataclasses

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_full_ranking as pairs
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.models import ids

MS = pairs.MS
SERVICES = (fakes.QUEUE.service, ids.ServiceId("other"))


class VariedPair(pairs.Pair):
    """Also changes the configuration, and cancels jobs."""

    def configure(self):
        """Give queues other services, priorities and advisors."""
        queues = tuple(
            dataclasses.replace(
                queue,
                service=self.random.choice(SERVICES),
                priority=self.random.randrange(2),
                advisor=self.random.choice((None, None, pairs.TERMS)),
            )
            for queue in pairs.QUEUES
        )
        configuration = dataclasses.replace(fakes.CONFIGURATION, queues=queues)
        for world in self.worlds:
            world.dispatcher.configure(configuration)

    def move(self):
        """Let a worker serve another service."""
        name = self.random.choice(self.names)
        service = self.random.choice(SERVICES)
        for world, worker in self.each(name):
            world.dispatcher.set_entry(
                dataclasses.replace(worker.entry, service=service), self.now
            )

    def cancel(self):
        """Cancel a job; its runs end at once."""
        if not self.own.book.jobs:
            return
        job_id = self.random.choice(list(self.own.book.jobs))
        for world in self.worlds:
            world.dispatcher.cancel(job_id, self.now)
            for worker in world.book.workers.values():
                for run in list(worker.runs.values()):
                    if run.task.job == job_id:
                        world.book.lose(worker, run, "stopped", self.now)

    def happen(self):
        """Let something happen in both worlds."""
        other = (self.configure, self.move, self.cancel)
        if self.random.random() < 0.12:
            self.random.choice(other)()
        else:
            super().happen()


def play(seed, spans, *, fillers):
    """Play rounds in both worlds; compare them after each."""
    pair = VariedPair(seed, fillers=fillers)
    own, other = pair.worlds
    placed = 0
    for number in range(80):
        for _ in range(pair.random.randint(0, 4)):
            pair.happen()
        for world in pair.worlds:
            world.place(pair.now)
        assert own.placed == other.placed, number
        placed += len(own.placed)
        pair.now += pair.random.choice(spans)
    assert placed


class TestSameChoicesUnderChanges:
    """Knowledge kept between rounds outlives no change."""

    @pytest.fixture(autouse=True)
    def sorted_each_round(self, monkeypatch):
        """Leave the age of the order out of the comparison."""
        monkeypatch.setattr(urgency, "RESORT_INTERVAL", 0 * MS)

    @pytest.mark.parametrize("seed", range(60))
    def test_services_that_starve(self, seed):
        """Guards against room that is overlooked once a task starves."""
        spans = (25 * MS, 25 * MS, 100 * MS, 900 * MS, 2500 * MS)
        play(seed, spans, fillers=False)

    @pytest.mark.parametrize("seed", range(60))
    def test_fillers_after_their_pause(self, seed):
        """Guards against fillers that a change leaves refused."""
        spans = (placement_round.BLOCKED_PAUSE, 400 * MS, 2500 * MS)
        play(seed, spans, fillers=True)
