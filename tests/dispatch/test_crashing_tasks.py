"""Tests of tasks that crash each worker that starts them."""

import collections
import random

import msgpack
import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

MS = fakes.MS
SECOND = fakes.SECOND
# The platform's rule: after three crashes a task may be started twice more.
STARTS_MAX = 5
DOWN_TIME = 2 * SECOND
JOB = ids.JobId("00000000000000aa")
OTHER_JOB = ids.JobId("00000000000000bb")
CRASHING = model.TaskKey(JOB, 0, 0, 0)


class CrashHarness(test_dispatcher.DispatcherHarness):
    """Workers that crash when they start a task in ``crashing``.

    :ivar lose: whether the answers to starts are lost.
    """

    def __init__(self, *names):
        self.crashing = {CRASHING}
        self.lose = False
        self.back_at = {}
        self.entries = names
        super().__init__(*names)

    def take_over(self):
        # A new leader reads the jobs before the registry.
        entries, self.entries = self.entries, ()
        super().take_over()
        self.entries = entries
        for name in entries:
            self.dispatcher.set_entry(self.entry(name), self.now)

    def new_dispatcher(self):
        new = super().new_dispatcher()
        if not self.entries:
            new.workers.clear()
        return new

    def crash(self, *names):
        """Crash workers; they are back after ``DOWN_TIME``."""
        for name in names:
            self.workers[name].restart()
            self.workers[name].cut_off = True
            self.back_at[name] = self.now + DOWN_TIME

    def break_gangs(self):
        """End the runs of gangs that have lost a member."""
        running = collections.Counter(
            task.step_key
            for worker in self.workers.values()
            for task in worker.running
        )
        for worker in self.workers.values():
            for task in list(worker.running):
                step = self.specs[task.job].steps[task.step]
                if step.gang and running[task.step_key] < step.count:
                    worker.end(task, model.EndKind.GANG_MEMBER_ENDED)

    def send(self, start, lose=False):
        before = len(self.workers[start.worker].starts)
        super().send(start, lose=lose or self.lose)
        started = len(self.workers[start.worker].starts) > before
        if started and start.run.task in self.crashing:
            self.crash(start.worker)

    def renew_leases(self, name):
        worker = self.dispatcher.workers.get(ids.WorkerId(name))
        if worker is None:
            return
        # A session leaves an idle worker alone once it has reported.
        if worker.runs or not (worker.report_received and worker.reachable):
            super().renew_leases(name)

    def play(self, seconds, *, until=lambda: False):
        """Run rounds for a time, or until a condition holds."""
        end = self.now + seconds * SECOND
        while self.now < end and not until():
            self.advance(100 * MS)
            for name, back_at in list(self.back_at.items()):
                if self.now >= back_at:
                    del self.back_at[name]
                    self.workers[name].cut_off = False
                    self.dispatcher.set_entry(self.entry(name), self.now)
            self.step()
            self.break_gangs()

    def entry(self, name):
        return fakes.entry(name, incarnation=self.workers[name].incarnation)

    def starts(self, task=CRASHING):
        """Count the starts of a task on all workers."""
        return sum(
            started == task
            for worker in self.workers.values()
            for started, _ in worker.starts
        )

    def state(self, job=JOB):
        """Return a job's state in the store."""
        return stored.decode_state(job, self.saved[job])

    def failed(self):
        """Return whether the store has the crashing job as failed."""
        value = self.saved.get(JOB)
        return value is not None and (
            stored.decode_state(JOB, value) is model.JobState.FAILED
        )

    def running(self, job=JOB):
        """Return the tasks of a job that run on any worker."""
        return [
            task
            for worker in self.workers.values()
            for task in worker.running
            if task.job == job
        ]


def step(count=1, **fields):
    """Return a step whose runs are not stopped for lack of progress."""
    return fakes.step(count, estimate=1000 * SECOND, **fields)


def workers(count):
    return [f"w{number}" for number in range(count)]


class TestGivenUp:
    """A task that crashes its workers is started a limited number of times."""

    @pytest.mark.parametrize(
        "kind",
        [
            step(),
            step(long_running=True),
            step(count=2, gang=True),
            step(filler=True),
            step(checkpointing=True),
        ],
        ids=["task", "service", "gang", "filler", "checkpoints"],
    )
    def test_starts_are_limited(self, kind):
        """Guards against a task that crashes one worker after another."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, kind))
        harness.play(60)
        assert harness.failed()
        assert 2 <= harness.starts() <= STARTS_MAX
        assert not harness.running()

    def test_each_crash_has_another_leader(self):
        """Guards against a count that is lost with the leader."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step()))
        for number in range(1, 20):
            harness.play(30, until=lambda n=number: harness.starts() >= n)
            harness.take_over()
        harness.play(60)
        assert harness.failed()
        assert harness.starts() <= STARTS_MAX

    def test_orders_of_two_former_leaders(self):
        """Guards against starts on top of those that former leaders sent.

        A worker that has restarted does not know the latest fencing token,
        and carries out orders that were under way for long.
        """
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step()))
        late = []
        for _ in range(2):
            (start,) = harness.place()
            worker = harness.dispatcher.workers[start.worker]
            late.append((start.worker, harness.order(worker, start)))
            harness.take_over()
            for name in harness.workers:
                harness.renew_leases(name)
        for number, (name, order) in enumerate(late):
            harness.play(4, until=lambda n=number: harness.starts() > 2 * n)
            harness.crash(name)
            outcome = harness.workers[name].start(order)
            assert isinstance(outcome, orders.Accepted)
            harness.crash(name)
        harness.play(60)
        assert harness.failed()
        assert 3 <= harness.starts() <= STARTS_MAX

    def test_answers_to_starts_are_lost(self):
        """Guards against crashes that no answer to the start confirms."""
        harness = CrashHarness(*workers(6))
        harness.lose = True
        harness.submit(fakes.job(JOB, step()))
        harness.play(60)
        assert harness.failed()
        assert harness.starts() <= STARTS_MAX

    def test_worker_that_does_not_return(self):
        """Guards against crashes of workers that are not seen again."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step()))
        for _ in range(20):
            harness.play(4, until=lambda: bool(harness.back_at))
            for name in list(harness.back_at):
                del harness.back_at[name]
                harness.dispatcher.remove_entry(ids.WorkerId(name))
            harness.play(12)
        assert harness.failed()
        assert harness.starts() <= STARTS_MAX

    def test_another_worker_at_the_address(self):
        """Guards against crashes of workers that return with another id."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step()))
        for _ in range(20):
            harness.play(4, until=lambda: bool(harness.back_at))
            for name in list(harness.back_at):
                del harness.back_at[name]
                worker = harness.dispatcher.workers[ids.WorkerId(name)]
                harness.dispatcher.settlement.incarnation_ended(
                    worker, harness.now
                )
        assert harness.failed()
        assert harness.starts() <= STARTS_MAX

    def test_many_such_tasks(self):
        """Guards against crashes that are blamed on one another.

        Their workers are lost within the same second, as after a loss of
        power.
        """
        harness = CrashHarness(*workers(12))
        names = [ids.JobId(f"{n:016x}") for n in range(6)]
        harness.crashing = {model.TaskKey(n, 0, 0, 0) for n in names}
        for name in names:
            harness.submit(fakes.job(name, step()))
        harness.play(120)
        assert [harness.state(n) for n in names] == 6 * [model.JobState.FAILED]
        assert max(harness.starts(t) for t in harness.crashing) <= STARTS_MAX

    def test_other_tasks_stop_and_later_steps_wait(self):
        """Guards against tasks of a job that go on after it was given up."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step(count=3), step(after=(0,))))
        harness.play(60)
        assert harness.failed()
        assert not harness.running()
        assert not harness.starts(model.TaskKey(JOB, 0, 1, 0))
        assert not any(w.runs for w in harness.dispatcher.workers.values())

    def test_reason_is_stored(self):
        """Guards against a failed job without the reason of its failure."""
        harness = CrashHarness(*workers(6))
        harness.submit(fakes.job(JOB, step()))
        harness.play(60)
        reason = stored.decode_failure(JOB, harness.saved[JOB])
        assert reason is progresses.FailureReason.WORKERS_CRASHED


class TestNeighbours:
    """Tasks that ran beside one that crashed the worker."""

    def test_neighbour_is_cleared(self):
        """Guards against a job that is given up for its neighbour's crash."""
        harness = CrashHarness(*workers(3))
        harness.submit(fakes.job(JOB, step()))
        harness.submit(fakes.job(OTHER_JOB, step(count=12)))
        harness.play(60)
        assert harness.failed()
        assert not harness.state(OTHER_JOB).final
        assert len(harness.running(OTHER_JOB)) == 12
        job = harness.dispatcher.jobs[OTHER_JOB]
        assert not any(r.crashes for r in job.progress.tasks.values())
        assert not any(
            w.probation for w in harness.dispatcher.workers.values()
        )

    def test_old_neighbour_is_not_suspected(self):
        """Guards against blame of a task that ran long before the crash."""
        harness = CrashHarness("w0")
        harness.submit(fakes.job(OTHER_JOB, step()))
        harness.play(5)
        harness.crash("w0")
        harness.play(1)
        harness.play(2)
        record = harness.dispatcher.jobs[OTHER_JOB].progress.tasks
        assert [r.crashes for r in record.values()] == [0]

    def test_suspect_has_no_new_neighbour(self):
        """Guards against tasks placed beside one that may crash the worker."""
        harness = CrashHarness(*workers(2))
        harness.submit(fakes.job(JOB, step()))
        harness.play(10, until=lambda: harness.starts() == 1)
        harness.crashing.clear()
        harness.play(10, until=lambda: harness.starts() == 2)
        (name,) = (n for n, w in harness.workers.items() if w.running)
        worker = harness.dispatcher.workers[ids.WorkerId(name)]
        assert obstacles.worker_obstacle(worker, (), harness.now) is (
            obstacles.Obstacle.ON_PROBATION
        )
        harness.submit(fakes.job(OTHER_JOB, step(count=4)))
        harness.play(1)
        assert OTHER_JOB not in {task.job for task in worker.runs}
        harness.play(4)
        assert obstacles.worker_obstacle(worker, (), harness.now) is None

    def test_suspect_does_not_starve(self):
        """Guards against a suspect that waits for ever on a busy site."""
        harness = CrashHarness("w0")
        harness.submit(fakes.job(JOB, step()))
        harness.play(10, until=lambda: harness.starts() == 1)
        harness.crashing.clear()
        for number in range(100):
            name = f"{number:016x}"
            harness.submit(fakes.job(name, step(count=2)))
            harness.play(0.3)
            for worker in harness.workers.values():
                for task in list(worker.running):
                    if task != CRASHING:
                        worker.end(task, model.EndKind.DONE)
        assert harness.starts() == 2


class TestGangOfSuspects:
    """Several members of a gang ran on a worker that crashed."""

    @pytest.mark.parametrize("count", (6, 12))
    def test_starts_again_with_fewer_workers_than_suspects(self, count):
        """Guards against a gang that one crash of a worker stops for good.

        Each suspect was to have a worker of its own.
        """
        harness = CrashHarness(*workers(3))
        harness.crashing = set()
        harness.submit(fakes.job(JOB, step(count=count, gang=True)))
        harness.play(1)
        assert len(harness.running()) == count
        harness.crash("w0")
        harness.play(10)
        assert len(harness.running()) == count


class TestManyAtOnce:
    """Losses of many workers at once, and planned ones, blame no task."""

    @pytest.mark.parametrize("lost", [9, 4], ids=["power", "zone"])
    def test_losses_do_not_count(self, lost):
        """Guards against jobs given up after losses of power."""
        harness = CrashHarness(*workers(9))
        harness.submit(fakes.job(OTHER_JOB, step(count=40)))
        for _ in range(6):
            harness.play(
                30, until=lambda: len(harness.running(OTHER_JOB)) == 40
            )
            harness.crash(*workers(lost))
            harness.play(DOWN_TIME / SECOND + 1)
        harness.play(30)
        assert not harness.state(OTHER_JOB).final
        assert len(harness.running(OTHER_JOB)) == 40

    def test_loss_of_a_site_that_is_mostly_idle(self):
        """Guards against blame if only few of the lost workers had tasks."""
        harness = CrashHarness(*workers(40))
        harness.submit(fakes.job(OTHER_JOB, step(count=3)))
        for _ in range(4):
            harness.play(
                30, until=lambda: len(harness.running(OTHER_JOB)) == 3
            )
            harness.play(0.3)
            harness.crash(*harness.workers)
            harness.play(DOWN_TIME / SECOND + 0.5)
        harness.play(30)
        assert len(harness.running(OTHER_JOB)) == 3
        assert not harness.dispatcher.run_tracker.crash_counts.pop()

    def test_planned_stop_does_not_count(self):
        """Guards against blame for a worker that leaves as planned."""
        harness = CrashHarness("w0")
        harness.submit(fakes.job(OTHER_JOB, step()))
        harness.play(1, until=lambda: harness.running(OTHER_JOB))
        draining = fakes.entry("w0", state=deployment.WorkerState.DRAINING)
        harness.dispatcher.set_entry(draining, harness.now)
        harness.crash("w0")
        harness.play(2.5)
        records = harness.dispatcher.jobs[OTHER_JOB].progress.tasks
        assert [record.crashes for record in records.values()] == [0]

    def test_refused_start_does_not_count(self):
        """Guards against blame of a task that its worker never started."""
        harness = CrashHarness("w0")
        harness.submit(fakes.job(OTHER_JOB, step()))
        (start,) = harness.place()
        worker = harness.dispatcher.workers[start.worker]
        harness.workers["w0"].restart()
        harness.dispatcher.set_entry(harness.entry("w0"), harness.now)
        harness.dispatcher.settlement.apply_start_outcome(
            worker,
            start.run,
            orders.Refused(reason=orders.RefusalReason.OTHER_INCARNATION),
            harness.now,
        )
        records = harness.dispatcher.jobs[OTHER_JOB].progress.tasks
        assert [record.crashes for record in records.values()] == [0]


class TestRandomFaults:
    """A task that crashes its workers beside others, with random faults."""

    @pytest.mark.parametrize("seed", range(20))
    def test_only_the_crashing_job_is_given_up(self, seed):
        """Guards against too many starts, and innocent jobs given up."""
        draw = random.Random(seed)
        harness = CrashHarness(*workers(12))
        innocent = [ids.JobId(f"{number:016x}") for number in range(8)]
        for name in innocent:
            harness.submit(fakes.job(name, step(count=3)))
        harness.play(3)
        harness.submit(fakes.job(JOB, step(count=draw.randint(1, 4))))
        for _ in range(8):
            harness.lose = draw.random() < 0.3
            match draw.choice(("none", "leader", "power", "zone", "planned")):
                case "leader":
                    harness.take_over()
                case "power":
                    harness.crash(*harness.workers)
                case "zone":
                    harness.crash(*workers(4))
                case "planned":
                    name = draw.choice(list(harness.workers))
                    entry = fakes.entry(
                        name,
                        incarnation=harness.workers[name].incarnation,
                        state=deployment.WorkerState.DRAINING,
                    )
                    harness.dispatcher.set_entry(entry, harness.now)
                    harness.crash(name)
            harness.play(draw.uniform(0.1, 6))
        harness.lose = False
        harness.play(90)
        assert harness.failed()
        assert harness.starts() <= STARTS_MAX
        assert not any(harness.state(name).final for name in innocent)
        assert all(len(harness.running(name)) == 3 for name in innocent)


class TestStoredForm:
    """Progress that this version and earlier ones have stored."""

    def test_new_form(self):
        """Guards against a count or an incarnation that is not restored."""
        progress = progresses.Progress(spec=fakes.job(JOB, step()))
        (task,) = progress.open_occurrence()
        progress.assign(
            task, ids.WorkerId("w"), ids.Attempt(1), incarnation=1_700
        )
        progress.tasks[task].crashes = 2
        decoded = stored.decode_progress(
            progress.spec, stored.encode_progress(progress)
        )
        assert decoded.tasks == progress.tasks

    @pytest.mark.parametrize("failed", [False, True])
    def test_form_of_earlier_versions(self, failed):
        """Guards against stored jobs that an upgrade makes unreadable."""
        spec = fakes.job(JOB, step())
        row = [0, 0, 0, 1, 4, "w", 2, "c"]
        value = msgpack.packb([1, "running", 1, False, failed, [row]])
        progress = stored.decode_progress(spec, value)
        record = progress.tasks[CRASHING]
        assert (record.crashes, record.incarnation) == (0, 0)
        assert (record.run, record.failures) == (4, 2)
        expected = progresses.FailureReason.ATTEMPTS_EXHAUSTED
        assert progress.failed is (expected if failed else None)


class UndeliveredStarts(CrashHarness):
    """Workers that crash while a start is under way to them.

    :ivar undelivered: number of starts to which this is still to happen.
    """

    def __init__(self, *names, undelivered):
        self.undelivered = undelivered
        super().__init__(*names)
        self.crashing = set()

    def send(self, start, lose=False):
        if not self.undelivered:
            super().send(start, lose=lose)
            return
        self.undelivered -= 1
        self.crash(start.worker)
        # The worker is cut off, so that the start has no answer.
        super().send(start)


class TestCrashesThatMayNotBeItsOwn:
    """Workers crash, and it is not known whether the task ran there."""

    @pytest.mark.parametrize("undelivered", (1, 2))
    def test_start_that_never_arrived(self, undelivered):
        """Guards against a job that is failed for a crash before its start.

        Only one worker crashes that has surely begun the task.
        """
        harness = UndeliveredStarts(*workers(6), undelivered=undelivered)
        harness.submit(fakes.job(JOB, step()))
        harness.play(20, until=lambda: bool(harness.running()))
        harness.play(0.3)
        (name,) = [n for n, w in harness.workers.items() if w.running]
        harness.crash(name)
        harness.play(30)
        assert not harness.failed()
        assert len(harness.running()) == 1

    def test_planned_stops_that_new_leaders_did_not_see(self):
        """Guards against a job that is failed as its workers were stopped.

        Each time the leader changes, so that the next one only knows that
        the worker has restarted.
        """
        harness = CrashHarness(*workers(6))
        harness.crashing = set()
        harness.submit(fakes.job(JOB, step()))
        for _ in range(3):
            harness.play(10, until=lambda: bool(harness.running()))
            harness.play(0.3)
            (name,) = [n for n, w in harness.workers.items() if w.running]
            harness.crash(name)
            harness.take_over()
            harness.play(20, until=lambda: bool(harness.running()))
        harness.play(30)
        assert not harness.failed()
        assert len(harness.running()) == 1

    def test_is_stored(self):
        """Guards against a doubt that is lost with the leader."""
        for crashes, certain in ((0, 0), (1, 0), (2, 1), (3, 3)):
            progress = progresses.Progress(spec=fakes.job(JOB))
            progress.open_occurrence()
            record = progress.assign(
                CRASHING, ids.WorkerId("w"), ids.Attempt(1), incarnation=5
            )
            record.crashes, record.certain_crashes = crashes, certain
            value = stored.encode_progress(progress)
            restored = stored.decode_progress(progress.spec, value)
            assert restored.tasks == progress.tasks
