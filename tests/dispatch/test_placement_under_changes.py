"""Tests of placement against a full ranking under more kinds of changes."""

import dataclasses

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_full_ranking as full_ranking_tests
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.dispatch import urgency
from turmerichook._internal.models import ids

MS = full_ranking_tests.MS
SERVICES = (fakes.QUEUE.service, ids.ServiceId("other"))


class VariedRecorderPair(full_ranking_tests.RecorderPair):
    """Adds changes of configuration and services, and cancelled jobs."""

    def configure(self):
        """Give the queues random services, priorities and advisors."""
        queues = tuple(
            dataclasses.replace(
                queue,
                service=self.random.choice(SERVICES),
                priority=self.random.randrange(2),
                advisor=self.random.choice(
                    (None, None, full_ranking_tests.TERMS)
                ),
            )
            for queue in full_ranking_tests.QUEUES
        )
        configuration = dataclasses.replace(fakes.CONFIGURATION, queues=queues)
        for recorder in self.recorders:
            recorder.dispatcher.configure(configuration)

    def change_service(self):
        """Move a random worker to a random service."""
        name = self.random.choice(self.names)
        service = self.random.choice(SERVICES)
        for recorder, worker in self.worker_in_both(name):
            recorder.dispatcher.set_entry(
                dataclasses.replace(worker.entry, service=service), self.now
            )

    def cancel(self):
        """Cancel a random job, and end its runs at once."""
        if not self.incremental.run_tracker.jobs:
            return
        job_id = self.random.choice(list(self.incremental.run_tracker.jobs))
        for recorder in self.recorders:
            recorder.dispatcher.cancel(job_id, self.now)
            for worker in recorder.run_tracker.workers.values():
                for run in list(worker.runs.values()):
                    if run.task.job == job_id:
                        recorder.run_tracker.drop_run(
                            worker, run, "stopped", self.now
                        )

    def apply_random_event(self):
        """Apply one random event to both recorders."""
        other = (self.configure, self.change_service, self.cancel)
        if self.random.random() < 0.12:
            self.random.choice(other)()
        else:
            super().apply_random_event()


def compare_rounds(seed, spans, *, fillers):
    """Run rounds on both recorders, and compare the placements of each.

    :param spans: times between two rounds, of which one is drawn.
    """
    pair = VariedRecorderPair(seed, fillers=fillers)
    incremental, other = pair.recorders
    placed = 0
    for number in range(80):
        for _ in range(pair.random.randint(0, 4)):
            pair.apply_random_event()
        for recorder in pair.recorders:
            recorder.place(pair.now)
        assert incremental.placed == other.placed, number
        placed += len(incremental.placed)
        pair.now += pair.random.choice(spans)
    assert placed


class TestSameChoicesUnderChanges:
    """State kept between rounds is updated with each change."""

    @pytest.fixture(autouse=True)
    def sorted_each_round(self, monkeypatch):
        """Sort the steps in each round, as the full ranking does."""
        monkeypatch.setattr(urgency, "RESORT_INTERVAL", 0 * MS)

    @pytest.mark.parametrize("seed", range(60))
    def test_services_that_starve(self, seed):
        """Guards against capacity overlooked for a starving task.

        A starving task may use reserved capacity that was not open to it
        when the workers were last checked.
        """
        spans = (25 * MS, 25 * MS, 100 * MS, 900 * MS, 2500 * MS)
        compare_rounds(seed, spans, fillers=False)

    @pytest.mark.parametrize("seed", range(60))
    def test_fillers_after_their_pause(self, seed):
        """Guards against fillers that stay refused after a change.

        The refusal was recorded before the change, and no longer applies.
        """
        spans = (placement_round.BLOCKED_PAUSE, 400 * MS, 2500 * MS)
        compare_rounds(seed, spans, fillers=True)
