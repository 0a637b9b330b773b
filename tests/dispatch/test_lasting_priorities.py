"""Tests of an ended service beside more urgent work than commits carry."""

import dataclasses
import datetime

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import committer
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
COMMIT = 50 * MS
# Time for which the site promises that no ended service stands with room.
PROMISE = 3 * SECOND
SMALL = resources.Resources(millicores=100, memory_mib=10)


class Site(test_dispatcher.Rig):
    """Workers with much room, and a commit every 50 ms."""

    def __init__(self):
        super().__init__(*"abcdefgh")
        self.count = 0

    def add_job(self, step, priority):
        """Accept a job of a queue with this priority."""
        self.count += 1
        spec = fakes.job(f"{self.count:016x}", step, accepted=self.now)
        self.submit(spec)
        job = self.dispatcher.jobs[spec.job]
        job.queue = dataclasses.replace(job.queue, priority=priority)
        return spec.job

    def commit_once(self):
        """Place and save what one commit carries."""
        saves = self.begin(
            committer.SAVE_ENTRIES_MAX, committer.PLACED_JOBS_MAX
        )
        for start in self.commit(saves):
            self.send(start)
        for name in self.workers:
            self.look(name)

    def holder(self, job_id):
        """Return the worker that runs a job's task, if one does."""
        for worker in self.workers.values():
            for task in worker.running:
                if task.job == job_id:
                    return worker, task
        return None


class TestServiceOfLowPriority:
    """Pattern: commits, and not workers, are what is short."""

    def test_starts_again_beside_a_stream_of_urgent_jobs(self):
        """Guards against an ended service that stands with room for it.

        Priority goes before the claim of a service that has waited for long,
        and a commit carries tasks of a limited number of jobs.
        """
        site = Site()
        lasting = fakes.step(long_running=True)
        service = site.add_job(lasting, 1)
        for _ in range(3):
            site.commit_once()
            site.advance(COMMIT)
        worker, task = site.holder(service)
        worker.end(task, model.EndKind.FAILED)
        ended = site.now
        while site.now - ended < PROMISE:
            for _ in range(committer.PLACED_JOBS_MAX + 1):
                site.add_job(fakes.step(demand=SMALL), 0)
            site.advance(COMMIT)
            site.commit_once()
            for busy in site.workers.values():
                for done in list(busy.running):
                    if done.job != service:
                        busy.end(done, model.EndKind.DONE)
        used = [
            site.dispatcher.workers[ids.WorkerId(name)].used.millicores
            for name in site.workers
        ]
        # Each worker could take the service several times over.
        assert max(used) < 8000
        assert site.holder(service) is not None
