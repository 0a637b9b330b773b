"""Tests of the leader with a store that is slow or does not answer."""

import asyncio
import collections
import dataclasses
import datetime

from tests.dispatch import fakes
from tests.dispatch import test_leader
from turmerichook._internal.dispatch import committer
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import keys
from turmerichook._internal.dispatch import save_order
from turmerichook._internal.models import ids
from turmerichook._internal.storage import interface
from turmerichook._internal.storage import memory
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)
# Network and processing time of a commit on the sites where the backlog of
# TestManyJobsAtOnce was observed.
COMMIT_TIME = 15 * MS
# Each fake worker has room for 16 tasks.
NAMES = tuple(f"w{number}" for number in range(24))
URGENT = fakes.QUEUE
LESS_URGENT = dataclasses.replace(
    fakes.QUEUE,
    queue=ids.QueueId("calm"),
    priority=2,
    latency_objective=fakes.SECOND,
)
CONFIGURATION = dataclasses.replace(
    fakes.CONFIGURATION, queues=(URGENT, LESS_URGENT)
)


class SlowStorage(memory.MemoryStorage):
    """A store whose commits take ``COMMIT_TIME``, or hang.

    :ivar open: cleared to let commits hang until it is set again.
    :ivar on_commit: called with each commit of the leader's commit log.
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.open = asyncio.Event()
        self.open.set()
        self.on_commit = lambda commit: None

    async def commit(self, commit):
        # Commits without this condition only update queue lengths.
        if keys.SEQUENCE in commit.expect:
            self.on_commit(commit)
        await asyncio.sleep(COMMIT_TIME.total_seconds())
        await self.open.wait()
        return await super().commit(commit)


class LateStorage(memory.MemoryStorage):
    """A store that executes some commits late and without an answer."""

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.late_calls = []
        self.calls = 0

    async def commit(self, commit):
        self.calls += 1
        if self.calls % 3 == 0:
            # The delays differ, so that some of these calls are executed
            # after later commits.
            self.late_calls.append(
                asyncio.create_task(self._later(commit, self.calls % 5))
            )
            raise exceptions.StoreOutcomeUnknownError(message="no answer")
        return await super().commit(commit)

    async def _later(self, commit, tenths):
        await asyncio.sleep(0.1 * tenths)
        await super().commit(commit)


class Site(test_leader.Site):
    """A site with two queues and many workers."""

    def __init__(self, *names, storage=SlowStorage):
        super().__init__(*(names or NAMES), storage=storage)
        self.configuration = CONFIGURATION

    def submit_many(self, count, *, first=0, queue=LESS_URGENT, tasks=1):
        """Store jobs with one step each."""
        now = datetime.timedelta(seconds=self.clock.now().timestamp())
        for number in range(first, first + count):
            spec = fakes.job(f"{number:016x}", fakes.step(tasks), accepted=now)
            self.submit(dataclasses.replace(spec, queue=queue.queue))

    def started(self):
        """Return all starts that the workers have received."""
        return [
            start
            for worker in self.workers.workers.values()
            for start in worker.starts
        ]

    def assigned(self):
        """Return the runs whose start has not been released."""
        return [
            run
            for worker in self.leader.dispatcher.workers.values()
            for run in worker.runs.values()
            if run.phase is fleet.RunPhase.ASSIGNED
        ]

    def end_running(self):
        """End all running tasks successfully."""
        for worker in self.workers.workers.values():
            for task in list(worker.running):
                worker.end(task, model.EndKind.DONE)

    def final(self):
        """Return the number of jobs that are final in the store."""
        return sum(
            stored.decode_state(keys.job_id(key), item.value).final
            for key, item in self.storage.items.items()
            if key.startswith(keys.PROGRESS_PREFIX)
        )


class TestManyJobsAtOnce:
    """Far more jobs change than one commit can hold.

    This was observed to let tasks of 0.64 s occupy room on their workers for
    4.4 s, most of it before their start.
    """

    def test_start_follows_placement_within_two_commits(self):
        """Guards against tasks that occupy room while others are committed.

        This happens if more tasks are placed than the next commit can hold.
        """

        async def scenario():
            site = Site()
            site.submit_many(300)
            term, running = await site.lead()
            commits = collections.Counter()
            site.storage.on_commit = lambda commit: commits.update(
                run.task for run in site.assigned()
            )
            await site.until(lambda: len(site.started()) == 300)
            term.end("test")
            await running
            return max(commits.values())

        assert asyncio.run(scenario()) <= 2

    def test_urgent_job_overtakes_a_backlog(self):
        """Guards against an urgent job that waits behind earlier jobs.

        This happens if jobs are committed in the order of their arrival.
        """

        async def scenario():
            site = Site()
            site.submit_many(300)
            term, running = await site.lead()
            await site.until(site.started)
            job = ids.JobId(f"{999:016x}")
            dispatcher = site.leader.dispatcher
            choose, choices = dispatcher.next_saves, []

            def next_saves(room):
                # A job that arrives after this can only be in the next commit.
                if job in dispatcher.jobs:
                    choices.append(room)
                return choose(room)

            dispatcher.next_saves = next_saves
            site.submit_many(1, first=999, queue=URGENT)
            await site.until(
                lambda: any(task.job == job for task, _ in site.started())
            )
            term.end("test")
            await running
            return len(choices)

        assert asyncio.run(scenario()) <= 2

    def test_commit_is_full_while_changes_wait(self):
        """Guards against many small commits, as the store charges for each.

        This happens if a commit is written before its entries are used.
        """

        async def scenario():
            site = Site()
            site.submit_many(150, tasks=2)
            term, running = await site.lead()
            await site.until(lambda: len(site.started()) == 300)
            # One task of each job goes on, so that no job becomes final.
            for worker in site.workers.workers.values():
                for task in list(worker.running):
                    if task.index == 0:
                        worker.end(task, model.EndKind.DONE)
            dispatcher = site.leader.dispatcher
            sizes = []

            def note(commit):
                if dispatcher.unsaved_jobs:
                    sizes.append(commit.entries)

            site.storage.on_commit = note
            await site.until(lambda: sizes and not dispatcher.unsaved_jobs)
            term.end("test")
            await running
            return sizes

        sizes = asyncio.run(scenario())
        # Two entries are reserved for the removals by housekeeping.
        assert min(sizes) >= interface.COMMIT_ENTRIES - 2

    def test_ends_are_saved_beside_a_stream_of_starts(self):
        """Guards against ends that are reported again and again.

        A worker repeats an end until it is durable, which takes long if starts
        of urgent jobs fill all commits.
        """

        async def scenario():
            site = Site()
            site.submit_many(20, tasks=5)
            term, running = await site.lead()
            await site.until(lambda: len(site.started()) == 100)
            # Some tasks of each job go on, so that no job becomes final.
            for worker in site.workers.workers.values():
                for task in list(worker.running)[:1]:
                    worker.end(task, model.EndKind.DONE)
            site.submit_many(280, first=100, queue=URGENT)
            workers = site.leader.dispatcher.workers.values()
            seen = []
            site.storage.on_commit = lambda commit: seen.append(
                any(worker.unsaved for worker in workers)
            )
            await site.until(lambda: any(seen) and not seen[-1])
            term.end("test")
            await running
            return seen.count(True)

        # 20 jobs use a quarter of the entries of each commit.
        assert asyncio.run(scenario()) <= 6


class TestStoreThatHangs:
    """The store receives a commit and does not answer."""

    def test_stop_does_not_wait_for_the_commit(self):
        """Guards against a canceled job that continues to run.

        A stop needs no commit and must not wait for one that hangs.
        """

        async def scenario():
            site = Site("w1")
            site.submit_many(1)
            term, running = await site.lead()
            worker = site.workers.workers["w1"]
            await site.until(lambda: worker.running)
            site.storage.open.clear()
            site.submit_many(1, first=1)
            await site.until(site.assigned)
            site.storage.put(keys.cancel(ids.JobId("0" * 16)), b"")
            await site.until(lambda: not worker.running)
            term.end("test")
            await running
            return len(site.started())

        assert asyncio.run(scenario()) == 1

    def test_placement_is_limited_while_a_commit_hangs(self):
        """Guards against room that is reserved for tasks that cannot start.

        This happens if placement continues while a commit hangs.
        """

        async def scenario():
            site = Site()
            term, running = await site.lead()
            site.storage.open.clear()
            site.submit_many(300)
            await site.until(site.assigned)
            await asyncio.sleep(0.3)
            assigned = len(site.assigned())
            site.storage.open.set()
            await site.until(lambda: len(site.started()) == 300)
            term.end("test")
            await running
            return assigned

        assert asyncio.run(scenario()) <= interface.COMMIT_ENTRIES

    def test_term_ends_while_a_commit_hangs(self):
        """Guards against a former leader that waits for a hanging commit.

        Its term must end within two seconds in any case.
        """

        async def scenario():
            site = Site()
            site.submit_many(1)
            term, running = await site.lead()
            site.storage.open.clear()
            await site.until(site.assigned)
            term.end("lapsed")
            done, _ = await asyncio.wait((running,), timeout=2)
            site.storage.open.set()
            await running
            return bool(done)

        assert asyncio.run(scenario())


class TestLateCommits:
    """A commit without an answer takes effect after a delay."""

    def test_start_follows_its_durable_assignment(self):
        """Guards against a start whose assignment a successor cannot read.

        This happens if a start is sent although its commit has not taken
        effect, or if a late commit overwrites a later one.
        """

        async def scenario():
            site = Site(storage=LateStorage)
            unstored_starts = []
            start = site.workers.start

            async def check(entry, order):
                job = order.task.job
                item = site.storage.items[keys.progress(job)]
                progress = stored.decode_progress(fakes.job(job), item.value)
                record = progress.tasks[order.task]
                if (record.worker, record.run) != (entry.worker, order.run):
                    unstored_starts.append(order)
                if record.phase is not progresses.Phase.ASSIGNED:
                    unstored_starts.append(order)
                return await start(entry, order)

            site.workers.start = check
            site.submit_many(60)
            term, running = await site.lead()
            for _ in range(200):
                site.end_running()
                await asyncio.sleep(0.05)
                if site.final() == 60:
                    break
            term.end("test")
            await running
            term, running = await site.lead()
            # Late commits of the former leader must not change the progress
            # that its successor has read.
            before = dict(site.storage.items)
            await asyncio.gather(*site.storage.late_calls)
            changed = [
                key
                for key, item in site.storage.items.items()
                if key.startswith(keys.PROGRESS_PREFIX)
                and item != before.get(key)
            ]
            term.end("test")
            await running
            return site.final(), unstored_starts, changed, site.started()

        final, unstored_starts, changed, started = asyncio.run(scenario())
        assert final == 60
        assert not unstored_starts and not changed
        assert len(started) == len(set(started)) == 60


class TestOrderOfSaves:
    """Selection of the snapshots for a commit that cannot hold all."""

    def job(self, number, queue, tasks=2):
        spec = fakes.job(f"{number:016x}", fakes.step(tasks))
        progress = progresses.Progress(spec=spec)
        progress.open_occurrence()
        return jobs.Job(progress=progress, queue=queue)

    def choose(self, changed, unreleased=(), room=committer.SAVE_ENTRIES_MAX):
        return save_order.choose(
            changed, {job.spec.job for job in unreleased}, room
        )

    def test_starts_come_first(self):
        """Guards against tasks that occupy room until other jobs are saved.

        A placed task cannot start until its job's snapshot is durable.
        """
        changed = [self.job(number, URGENT) for number in range(200)]
        placed = [
            self.job(500 + number, LESS_URGENT)
            for number in range(committer.PLACED_JOBS_MAX)
        ]
        chosen = self.choose(changed + placed, unreleased=placed)
        assert set(placed) <= set(chosen)

    def test_urgent_queues_come_first(self):
        """Guards against an urgent job that is shown as running for too long.

        This happens if its last snapshot waits behind less urgent jobs.
        """
        changed = [self.job(number, LESS_URGENT) for number in range(200)]
        changed += [self.job(number, URGENT) for number in range(10)]
        assert set(changed[200:]) <= set(self.choose(changed))

    def test_oldest_change_is_saved_eventually(self):
        """Guards against an end that never becomes durable.

        This happens if more urgent snapshots fill every commit.
        """
        changed = [self.job(number, LESS_URGENT) for number in range(60)]
        urgent = [self.job(number, URGENT) for number in range(100, 140)]
        commits = 0
        while changed:
            chosen = self.choose(changed + urgent, unreleased=urgent)
            changed = [job for job in changed if job not in chosen]
            commits += 1
        oldest = save_order.oldest_entries(committer.SAVE_ENTRIES_MAX)
        assert commits <= 100 / oldest + 1

    def test_entries_are_filled(self):
        """Guards against commits with unused entries during a backlog."""
        changed = [self.job(number, LESS_URGENT) for number in range(40)]
        for job in changed[:20]:
            job.progress.failed = True
        chosen = self.choose(changed)
        assert sum(job.entries for job in chosen) == committer.SAVE_ENTRIES_MAX
