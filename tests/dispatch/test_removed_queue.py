"""Tests of jobs whose queue is no longer in the configuration."""

import dataclasses

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from tests.platform import test_decoding
from turmerichook._internal.models import ids
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import stored

JOB = ids.JobId("00000000000000aa")
ATTEMPTS = 3


class Site(test_dispatcher.DispatcherHarness):
    """A site whose next leaders find a configuration without the queue."""

    def new_dispatcher(self):
        new = super().new_dispatcher()
        new.configure(dataclasses.replace(fakes.CONFIGURATION, queues=()))
        return new

    def fail_run(self):
        """Let the run of the task fail, and the leader take note of it."""
        for _ in range(5):
            self.step()
            self.advance(500 * fakes.MS)
        (worker,) = [w for w in self.workers.values() if w.running]
        worker.end(model.TaskKey(JOB, 0, 0, 0), model.EndKind.FAILED)
        self.step()


class TestAttempts:
    """A run fails under a leader that does not know the queue."""

    def test_are_those_of_the_accepted_job(self):
        """Guards against a job that is failed at the first failure."""
        site = Site("a", "b")
        site.submit(fakes.job(JOB, fakes.step(max_attempts=ATTEMPTS)))
        site.step()
        site.take_over()
        starts = []
        for _ in range(ATTEMPTS):
            site.fail_run()
            starts.append(stored.decode_state(JOB, site.saved[JOB]))
        *before, last = starts
        assert set(before) == {model.JobState.RUNNING}
        assert last is model.JobState.FAILED

    @pytest.mark.parametrize("attempts", (0, 1, 3, 1000))
    def test_are_stored_with_the_job(self, attempts):
        """Guards against a limit that the next leader does not know."""
        spec = fakes.job(JOB, fakes.step(max_attempts=attempts))
        assert stored.decode_spec(JOB, stored.encode_spec(spec)) == spec

    def test_are_taken_from_the_queue(self):
        """Guards against jobs that are accepted without a limit."""
        spec = caller_calls.submission(
            test_decoding.encode({"spec": "", "steps": [{"count": 1}]}),
            job=JOB,
            queue=fakes.QUEUE,
            accepted=fakes.SECOND,
        )
        assert spec.steps[0].max_attempts == fakes.QUEUE.max_attempts
