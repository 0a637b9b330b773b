"""Tests with workers whose capacity changes while tasks are placed and run."""

import dataclasses

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import dispatcher as dispatchers
from turmerichook._internal.dispatch import events
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

MS = fakes.MS
SECOND = fakes.SECOND
UNKNOWN_JOB = ids.JobId("f" * 16)


def cores(number, **fields):
    """Return a step whose tasks demand a number of cores."""
    demand = resources.Resources(millicores=number * 1000, memory_mib=100)
    return fakes.step(demand=demand, **fields)


class Harness(test_dispatcher.DispatcherHarness):
    """A dispatcher with workers whose registry entries a test can change."""

    def set_entry(self, name, **fields):
        """Replace fields of a worker's registry entry."""
        former = self.dispatcher.workers[ids.WorkerId(name)].entry
        self.dispatcher.set_entry(
            dataclasses.replace(former, **fields), self.now
        )

    def resize(self, name, millicores):
        """Change the processors in a worker's registry entry."""
        capacity = resources.Resources(
            millicores=millicores, memory_mib=64_000
        )
        self.set_entry(name, capacity=capacity)

    def run_steps(self, count):
        for _ in range(count):
            self.advance(200 * MS)
            self.step()

    def started(self, job):
        """Return the workers that run tasks of a job, once for each task."""
        return [
            name
            for name, worker in self.workers.items()
            for task in worker.running
            if task.job == job
        ]


class TestChangeDuringCommit:
    """A registry entry changes while the assignment is being stored."""

    def test_capacity_that_shrinks(self):
        """Guards against starts on capacity that is gone once they are sent.

        A commit to a slow store takes seconds.
        """
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16, fakes.step(10)))
        saves = harness.begin(100, 100)
        harness.resize("a", 4000)
        starts = harness.commit(saves)
        assert len(starts) == 4
        assert len(harness.dispatcher.waiting) == 6
        for start in starts:
            harness.send(start)
        harness.run_steps(3)
        assert len(harness.workers["a"].running) == 4
        harness.resize("a", 16_000)
        harness.run_steps(3)
        assert len(harness.workers["a"].running) == 10

    def test_running_tasks_use_all_that_is_left(self):
        """Guards against a start on a worker that is over its capacity."""
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16, fakes.step(10)))
        harness.step()
        harness.submit(fakes.job("1" * 16))
        saves = harness.begin(100, 100)
        harness.resize("a", 4000)
        assert not harness.commit(saves)

    def test_gang(self):
        """Guards against a gang that is started in part.

        The started tasks would wait for the others until they time out.
        """
        harness = Harness("a", "b")
        harness.submit(fakes.job("0" * 16, cores(10, count=2, gang=True)))
        saves = harness.begin(100, 100)
        harness.resize("b", 4000)
        assert not harness.commit(saves)
        assert len(harness.dispatcher.waiting) == 2
        harness.resize("b", 16_000)
        harness.run_steps(2)
        runs = {
            run
            for worker in harness.workers.values()
            for run in worker.running.values()
        }
        assert len(harness.started("0" * 16)) == 2
        assert len(runs) == 1

    @pytest.mark.parametrize(
        "fields",
        (
            {"labels": frozenset(("b",))},
            {"service": ids.ServiceId("other")},
            {"incarnation": 2},
        ),
    )
    def test_other_kind_of_worker(self, fields):
        """Guards against a start on a worker that has become another kind."""
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16, fakes.step(label="a")))
        saves = harness.begin(100, 100)
        harness.set_entry("a", **fields)
        assert not harness.commit(saves)

    def test_queue_that_moves_to_another_service(self):
        """Guards against a start on a service that the queue has left."""
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16))
        saves = harness.begin(100, 100)
        queue = dataclasses.replace(
            fakes.QUEUE, service=ids.ServiceId("other")
        )
        harness.dispatcher.configure(
            dataclasses.replace(fakes.CONFIGURATION, queues=(queue,))
        )
        assert not harness.commit(saves)


class TestUnassignedRuns:
    """A worker has runs that the leader has not assigned."""

    def report(self, harness, name, *rows, ends=()):
        """Apply a worker's report of runs, each with task and run number."""
        worker = harness.dispatcher.workers[name]
        settlement = harness.dispatcher.settlement
        settlement.apply_report(
            worker,
            orders.Report(
                clock=harness.workers[name].clock,
                incarnation=1,
                running=tuple(
                    orders.RunningRow(task, run, ids.CheckpointId(""), 50, 0)
                    for task, run in rows
                ),
                ends=ends,
                ends_complete=True,
            ),
            requested_at=settlement.next_sequence_number(),
            now=harness.now,
        )

    def test_run_of_an_unknown_job(self):
        """Guards against tasks placed beside a run of unknown demand."""
        harness = Harness("a")
        stray = model.TaskKey(UNKNOWN_JOB, 0, 0, 0)
        self.report(harness, "a", (stray, ids.Attempt(1)))
        harness.submit(fakes.job("0" * 16))
        assert not harness.place()
        harness.send_stops()
        self.report(harness, "a")
        assert len(harness.place()) == 1

    def test_report_during_a_commit(self):
        """Guards against a start beside a run reported during the commit."""
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16))
        saves = harness.begin(100, 100)
        stray = model.TaskKey(UNKNOWN_JOB, 0, 0, 0)
        self.report(harness, "a", (stray, ids.Attempt(1)))
        assert not harness.commit(saves)

    def test_run_of_a_known_job(self):
        """Guards against counting nothing for a run that is to be stopped."""
        harness = Harness("a", "b")
        harness.submit(fakes.job("0" * 16, cores(10)))
        (start,) = harness.place()
        (other,) = {"a", "b"} - {start.worker}
        self.report(harness, other, (start.run.task, ids.Attempt(1)))
        harness.submit(fakes.job("1" * 16, cores(10)))
        harness.submit(fakes.job("2" * 16, cores(6)))
        placed = {(s.run.task.job, s.worker) for s in harness.place()}
        assert ("1" * 16, other) not in placed

    def test_end_of_another_run(self):
        """Guards against a second run when another run of the task ends."""
        harness = Harness("a", "b")
        harness.submit(fakes.job("0" * 16))
        (start,) = harness.place()
        harness.send(start)
        task = start.run.task
        (other,) = {"a", "b"} - {start.worker}
        self.report(harness, other, (task, ids.Attempt(0)))
        end = orders.EndRow(
            1,
            task,
            ids.Attempt(0),
            model.EndKind.STOPPED,
            ids.CheckpointId(""),
        )
        self.report(harness, other, ends=(end,))
        assert not harness.place()
        assert harness.dispatcher.workers[other].acknowledged == 1

    def test_run_that_a_final_job_left(self):
        """Guards against placing beside a run that a canceled job has left.

        The new leader knows that the run exists, but not its demand.
        """
        harness = Harness("a")
        spec = fakes.job("0" * 16, cores(16))
        harness.submit(spec)
        harness.step()
        harness.dispatcher.cancel(spec.job, harness.now)
        harness.commit(harness.begin(100, 100))
        harness.take_over()
        harness.renew_leases("a")
        harness.submit(fakes.job("1" * 16))
        assert harness.workers["a"].running
        assert not harness.place()
        harness.run_steps(3)
        assert harness.started("1" * 16) == ["a"]


class TestEndOfGang:
    """One member's end is known before those of the others."""

    def make_gang(self):
        """Run a gang on two workers; return the harness and the job."""
        harness = Harness("a", "b")
        spec = fakes.job("0" * 16, cores(16, count=2, gang=True))
        harness.submit(spec)
        harness.step()
        assert sorted(harness.started(spec.job)) == ["a", "b"]
        (task,) = harness.workers["a"].running
        harness.workers["a"].end(task, model.EndKind.DONE)
        harness.renew_leases("a")
        return harness, spec

    def test_room_of_members_that_run(self):
        """Guards against a start beside a member that has not ended yet."""
        harness, _ = self.make_gang()
        harness.submit(fakes.job("1" * 16, cores(16)))
        harness.submit(fakes.job("2" * 16, cores(16)))
        assert {start.worker for start in harness.place()} == {"a"}

    @pytest.mark.parametrize("kind", tuple(model.EndKind))
    def test_end_of_another_member(self, kind):
        """Guards against a finished gang that is run again."""
        harness, spec = self.make_gang()
        (task,) = harness.workers["b"].running
        harness.workers["b"].end(task, kind)
        harness.run_steps(3)
        assert not harness.started(spec.job)
        assert len(harness.workers["a"].starts) == 1
        assert len(harness.workers["b"].starts) == 1
        assert spec.job in harness.dispatcher.final
        assert harness.dispatcher.workers["b"].used == resources.NOTHING
        assert harness.dispatcher.workers["b"].acknowledged == 1

    def test_member_lost_with_its_worker(self):
        """Guards against running a gang again for a member that was lost."""
        harness, spec = self.make_gang()
        harness.workers["b"].restart()
        harness.set_entry("b", incarnation=2)
        harness.run_steps(3)
        assert not harness.started(spec.job)
        assert harness.dispatcher.workers["b"].used == resources.NOTHING

    def test_member_that_goes_on(self):
        """Guards against a member that runs on after the gang's end."""
        harness, spec = self.make_gang()
        harness.run_steps(3)
        assert not harness.started(spec.job)
        assert harness.dispatcher.workers["b"].used == resources.NOTHING


class TestRestartedWorker:
    """A worker's report and its registry entry are of two incarnations."""

    def test_entry_of_the_former_incarnation(self):
        """Guards against using the former incarnation's capacity.

        The new one may be another kind of worker.
        """
        harness = Harness("a")
        harness.workers["a"].restart()
        harness.renew_leases("a")
        harness.renew_leases("a")
        harness.submit(fakes.job("0" * 16, fakes.step(10)))
        assert not harness.place()
        harness.set_entry("a", incarnation=2)
        harness.resize("a", 4000)
        assert len(harness.place()) == 4

    def test_entry_without_an_incarnation(self):
        """Guards against ignoring workers that do not report their start."""
        harness = Harness("a")
        harness.set_entry("a", incarnation=0)
        harness.submit(fakes.job("0" * 16))
        assert len(harness.place()) == 1


class TestSilentRegistry:
    """The leader cannot read the registry while its commits succeed."""

    def make(self, guarded):
        harness = Harness("a")
        service = dataclasses.replace(
            fakes.CONFIGURATION.services[0], guarded=guarded
        )
        harness.dispatcher.configure(
            dataclasses.replace(fakes.CONFIGURATION, services=(service,))
        )
        harness.dispatcher.confirm_registry(harness.now)
        harness.submit(fakes.job("0" * 16))
        return harness

    def test_nothing_is_placed_by_old_entries(self):
        """Guards against the use of a capacity that may have shrunk.

        An order may take 0.8 s, and has to arrive within the contact time.
        """
        harness = self.make(guarded=False)
        harness.advance(fakes.TIMING.contact - 800 * MS)
        assert not harness.place()
        harness.dispatcher.confirm_registry(harness.now)
        assert len(harness.place()) == 1

    def test_nothing_is_started_by_old_entries(self):
        """Guards against an entry that gets too old during a slow commit."""
        harness = self.make(guarded=False)
        saves = harness.begin(100, 100)
        harness.advance(fakes.TIMING.contact - 800 * MS)
        assert not harness.commit(saves)

    def test_entries_that_are_recent_enough(self):
        """Guards against tasks that wait although the entries are recent."""
        harness = self.make(guarded=False)
        harness.advance(fakes.TIMING.contact * 0.6)
        assert len(harness.place()) == 1

    def test_workers_that_refuse_what_does_not_fit(self):
        """Guards against waiting for the registry without need."""
        harness = self.make(guarded=True)
        harness.advance(fakes.TIMING.contact + MS)
        assert len(harness.place()) == 1


class TestOverCapacity:
    """A worker's capacity has shrunk below what its tasks use."""

    def make_full(self):
        harness = Harness("a")
        step = fakes.step(10, estimate=60 * SECOND)
        harness.submit(fakes.job("0" * 16, step))
        harness.step()
        harness.resize("a", 4000)
        return harness

    def test_running_tasks_stay(self):
        """Guards against lost work when a capacity shrinks for a while."""
        harness = self.make_full()
        harness.run_steps(5)
        assert len(harness.workers["a"].running) == 10

    @pytest.mark.parametrize(
        "step",
        (
            fakes.step(),
            cores(1, filler=True),
            cores(1, long_running=True),
            cores(0),
        ),
    )
    def test_nothing_is_started_until_it_fits(self, step):
        """Guards against any start on a worker over its capacity."""
        harness = self.make_full()
        harness.submit(fakes.job("1" * 16, step))
        harness.run_steps(20)
        assert not harness.started("1" * 16)
        fake = harness.workers["a"]
        for task in list(fake.running)[:9]:
            fake.end(task, model.EndKind.DONE)
        harness.run_steps(2)
        assert harness.started("1" * 16) == ["a"]

    def test_capacity_that_grows_again(self):
        """Guards against a waiting task that does not see the growth."""
        harness = self.make_full()
        harness.submit(fakes.job("1" * 16))
        harness.run_steps(5)
        assert not harness.started("1" * 16)
        harness.resize("a", 16_000)
        harness.step()
        assert harness.started("1" * 16) == ["a"]

    def test_no_capacity_at_all(self):
        """Guards against errors with an entry that offers no processors."""
        harness = self.make_full()
        harness.set_entry("a", capacity=resources.NOTHING)
        harness.submit(fakes.job("1" * 16))
        harness.submit(fakes.job("2" * 16, cores(1, filler=True)))
        harness.run_steps(15)
        assert len(harness.workers["a"].running) == 10
        harness.resize("a", 16_000)
        harness.run_steps(2)
        assert len(harness.workers["a"].running) == 12

    def test_new_leader(self):
        """Guards against a leader that forgets what its predecessor started.

        It finds tasks that use more than the worker's present capacity.
        """
        harness = self.make_full()
        harness.take_over()
        harness.resize("a", 4000)
        harness.renew_leases("a")
        harness.submit(fakes.job("1" * 16))
        harness.run_steps(5)
        assert len(harness.workers["a"].running) == 10

    def test_operators_see_it(self, monkeypatch):
        """Guards against a worker over its capacity that is not noticed."""
        rows = []
        monkeypatch.setattr(
            dispatchers.logs,
            "emit",
            lambda event, **fields: rows.append((event, fields)),
        )
        harness = self.make_full()
        harness.resize("a", 4000)
        harness.resize("a", 3000)
        harness.resize("a", 16_000)
        below = events.DispatchEvent.CAPACITY_BELOW_USE
        logged = [fields for event, fields in rows if event is below]
        assert [fields["capacity"] for fields in logged] == [
            "4000m/64000MiB",
            "3000m/64000MiB",
        ]
        assert logged[0]["used"] == "10000m/10000MiB"
        assert logged[0]["runs"] == 10


class TestLateStart:
    """A worker executes a start after the leader stopped waiting for it."""

    def test_room_is_kept_until_the_outcome_is_certain(self):
        """Guards against giving away the room of a start that may be late."""
        harness = Harness("a")
        harness.submit(fakes.job("0" * 16, cores(16)))
        (start,) = harness.place()
        worker = harness.dispatcher.workers["a"]
        late = harness.order(worker, start)
        harness.dispatcher.settlement.apply_start_outcome(
            worker, start.run, orders.Unknown(detail="late"), harness.now
        )
        harness.submit(fakes.job("1" * 16, cores(16)))
        harness.workers["a"].cut_off = True
        for _ in range(50):
            harness.advance(200 * MS)
            harness.step()
        assert worker.used.millicores == 16_000
        harness.workers["a"].cut_off = False
        assert isinstance(harness.workers["a"].start(late), orders.Refused)


class TestUnguardedWorker:
    """A worker that does not enforce its capacity."""

    def test_demand_of_all_phases_counts(self):
        """Guards against not counting runs that are being stopped."""
        harness = Harness("a")
        spec = fakes.job("0" * 16, cores(16))
        harness.submit(spec)
        harness.step()
        harness.dispatcher.cancel(spec.job, harness.now)
        harness.submit(fakes.job("1" * 16, cores(16)))
        assert not harness.place()
        (run,) = harness.dispatcher.workers["a"].runs.values()
        assert run.phase is fleet.RunPhase.STOPPING
