"""Tests of an ended service while urgent jobs fill all commits.

A service is a long-running task.
"""

import dataclasses
import datetime

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import committer
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import placement_round
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
COMMIT_INTERVAL = 50 * MS
# Longest time that the site guarantees for an ended service to wait while a
# worker has room for it.
SERVICE_WAIT_MAX = 3 * SECOND
SMALL_DEMAND = resources.Resources(millicores=100, memory_mib=10)


class Site(test_dispatcher.DispatcherHarness):
    """Workers with ample room, and a commit every 50 ms."""

    def __init__(self):
        super().__init__(*"abcdefgh")
        self.job_count = 0

    def add_job(self, step, priority):
        """Submit a job in a queue with this priority."""
        self.job_count += 1
        spec = fakes.job(f"{self.job_count:016x}", step, accepted=self.now)
        self.submit(spec)
        job = self.dispatcher.jobs[spec.job]
        job.queue = dataclasses.replace(job.queue, priority=priority)
        return spec.job

    def commit_once(self):
        """Place and save as much as one commit can hold; send the starts."""
        saves = self.begin(
            committer.SAVE_ENTRIES_MAX, committer.PLACED_JOBS_MAX
        )
        for start in self.commit(saves):
            self.send(start)
        for name in self.workers:
            self.renew_leases(name)

    def find_task(self, job_id):
        """Return the worker that runs a job's task and the task, or None."""
        for worker in self.workers.values():
            for task in worker.running:
                if task.job == job_id:
                    return worker, task
        return None

    def await_beside_urgent_jobs(self, service):
        """Commit until a service runs, which takes few commits."""
        waiting_since = self.now
        while self.find_task(service) is None:
            assert self.now - waiting_since < 4 * COMMIT_INTERVAL
            for _ in range(committer.PLACED_JOBS_MAX + 1):
                self.add_job(fakes.step(demand=SMALL_DEMAND), 0)
            self.advance(COMMIT_INTERVAL)
            self.commit_once()


class TestServiceOfLowPriority:
    """The entries of commits are scarce, and not the room on workers."""

    def test_starts_again_beside_a_stream_of_urgent_jobs(self):
        """Guards against an ended service that waits although it has room.

        Priority takes precedence over the waiting time of a service, and tasks
        of only a limited number of jobs are placed before each commit.
        """
        site = Site()
        long_running_step = fakes.step(long_running=True)
        service = site.add_job(long_running_step, 1)
        for _ in range(3):
            site.commit_once()
            site.advance(COMMIT_INTERVAL)
        worker, task = site.find_task(service)
        worker.end(task, model.EndKind.FAILED)
        ended_at = site.now
        while site.now - ended_at < SERVICE_WAIT_MAX:
            for _ in range(committer.PLACED_JOBS_MAX + 1):
                site.add_job(fakes.step(demand=SMALL_DEMAND), 0)
            site.advance(COMMIT_INTERVAL)
            site.commit_once()
            for busy in site.workers.values():
                for done in list(busy.running):
                    if done.job != service:
                        busy.end(done, model.EndKind.DONE)
        used = [
            site.dispatcher.workers[ids.WorkerId(name)].used.millicores
            for name in site.workers
        ]
        # Each worker has room for several such services.
        assert max(used) < 8000
        assert site.find_task(service) is not None


class TestServiceOfLostWorker:
    """A worker is lost for good, and urgent jobs fill all commits."""

    def test_time_without_a_run_counts_as_waiting_time(self):
        """Guards against a wait that begins anew when the leases have ended.

        The service had not run for 19 s and then waited for two more seconds
        behind short tasks.
        """
        site = Site()
        service = site.add_job(fakes.step(long_running=True), 1)
        for _ in range(3):
            site.commit_once()
            site.advance(COMMIT_INTERVAL)
        worker, task = site.find_task(service)
        worker.cut_off = True
        name = next(n for n, w in site.workers.items() if w is worker)
        site.dispatcher.remove_entry(ids.WorkerId(name))
        record = site.dispatcher.jobs[service].progress.tasks[task]
        lost_at = site.now
        while record.worker == name:
            assert site.now - lost_at < 20 * SECOND
            site.advance(COMMIT_INTERVAL)
            site.renew_leases(name)
            site.dispatcher.watchdog.tick(site.now)
        del site.workers[name]
        site.await_beside_urgent_jobs(service)


class TestServiceThatWaitsAtAChange:
    """The leader changes while an ended service waits to run again."""

    def test_wait_does_not_begin_anew(self):
        """Guards against 2 s more behind urgent jobs with each new leader."""
        site = Site()
        service = site.add_job(fakes.step(long_running=True), 1)
        for _ in range(3):
            site.commit_once()
            site.advance(COMMIT_INTERVAL)
        worker, task = site.find_task(service)
        worker.end(task, model.EndKind.STOPPED)
        for name in site.workers:
            site.renew_leases(name)
        site.store(site.dispatcher.next_saves(10))
        site.take_over()
        job = site.dispatcher.jobs[service]
        job.queue = dataclasses.replace(job.queue, priority=1)
        for name in site.workers:
            site.renew_leases(name)
        site.await_beside_urgent_jobs(service)


class TestRoomOfEndedService:
    """Services and short tasks wait for room on a full worker."""

    def test_goes_back_to_the_service_that_lost_it(self):
        """Guards against room that others take right after a run has failed.

        The room that a failed task of a service left was given to the first
        run of another service 0.5 s later. The failed one then waited for
        12 s.
        """
        site = test_dispatcher.DispatcherHarness("a")
        big = resources.Resources(millicores=9000, memory_mib=100)
        jobs = [
            fakes.job("1" * 16, fakes.step(long_running=True, demand=big)),
            fakes.job("2" * 16, fakes.step(long_running=True, demand=big)),
            fakes.job("3" * 16, fakes.step(8, demand=big)),
        ]
        site.submit(jobs[0])
        site.step()
        for spec in jobs[1:]:
            site.submit(spec)
        site.advance(3 * SECOND)
        site.renew_leases("a")
        worker = site.workers["a"]
        (task,) = worker.running
        worker.end(task, model.EndKind.FAILED)
        site.step()
        assert list(worker.running) == [task]


class TestLogOfWait:
    """An ended service waits for room on a full worker."""

    def test_tells_what_it_waits_for(self, monkeypatch):
        """Guards against a wait of seconds that leaves no line in the log.

        A step is explained once in 30 s, so that no line named a service that
        had failed and then waited for 12 s.
        """
        lines = []

        def emit(event, **fields):
            if event is events.DispatchEvent.TASK_WAITS:
                lines.append(fields)

        site = test_dispatcher.DispatcherHarness("a")
        for name, millicores in (("1" * 16, 9000), ("2" * 16, 7000)):
            demand = resources.Resources(millicores=millicores, memory_mib=100)
            step = fakes.step(
                long_running=True, demand=demand, estimate=60 * SECOND
            )
            site.submit(fakes.job(name, step))
        site.step()
        worker = site.workers["a"]
        assert len(worker.running) == 2
        site.dispatcher.set_entry(
            fakes.entry("a", millicores=12_000), site.now
        )
        worker.end(min(worker.running), model.EndKind.FAILED)
        monkeypatch.setattr(placement_round.logs, "emit", emit)
        for _ in range(50):
            site.advance(100 * MS)
            site.step()
        waits = [line["waited_ms"] for line in lines if line["restarts"]]
        assert len(waits) >= 2
        assert waits[-1] >= 2000
        assert lines[-1]["obstacles"] == "no-processors:1"
