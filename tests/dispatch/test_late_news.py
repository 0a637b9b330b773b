"""Tests of news of workers' incarnations that arrives late or out of order."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashes_and_leaders
from tests.dispatch import test_crashing_tasks
from tests.dispatch import test_dispatcher
from tests.dispatch import test_session
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = fakes.MS
SECOND = fakes.SECOND
JOB = test_crashing_tasks.JOB
OTHER_JOB = test_crashing_tasks.OTHER_JOB
NAMES = "ab"
# Worker that restarts; the other one takes its tasks.
RESTARTING = "a"


class TestLateNews:
    """What says of a worker which incarnation runs arrives late."""

    def test_earlier_entry_is_read_later(self):
        """Guards against a running worker that is ignored for good.

        Without a report, an entry with an earlier start time passes for a
        restart with the clock set back, and all reports for outdated.
        """
        site = test_crashes_and_leaders.harness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 4
        site.dispatcher = site.new_dispatcher()
        former = fakes.entry(name, incarnation=3)
        site.dispatcher.set_entry(former, site.now)
        site.play(1)
        assert site.dispatcher.workers[name].report_received
        assert site.dispatcher.workers[name].incarnation == 4

    def test_entry_is_read_again_after_a_restart(self):
        """Guards against a running worker that passes for an ended one.

        Its clock was set back, the leader has only read the entry of the
        former incarnation, and reads it again after the first report.
        """
        site = test_crashes_and_leaders.harness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 3
        site.dispatcher = site.new_dispatcher()
        former = site.entry(name)
        site.workers[name].restart()
        site.workers[name].incarnation = 2
        site.play(1)
        site.dispatcher.set_entry(former, site.now)
        assert site.dispatcher.workers[name].incarnation == 2

    def test_report_that_was_requested_before_the_restart(self):
        """Guards against a restarted worker that is ignored for good.

        The answer of the former incarnation, which the leader has not heard
        of yet, arrives after the entry of the new one has been read.
        """
        site = test_crashes_and_leaders.harness(1)
        (name,) = site.workers
        site.dispatcher.workers.clear()
        settlement = site.dispatcher.settlement
        site.dispatcher.restore_entry(name, "127.0.0.1:1", draining=False)
        asked = settlement.next_sequence_number()
        site.workers[name].restart()
        site.dispatcher.set_entry(site.entry(name), site.now)
        worker = site.dispatcher.workers[name]
        late = orders.Report(
            clock=SECOND,
            incarnation=worker.incarnation - 1,
            running=(),
            ends=(),
            ends_complete=True,
        )
        settlement.apply_report(worker, late, requested_at=asked, now=site.now)
        assert not worker.report_received
        site.play(1)
        assert worker.report_received
        assert worker.incarnation == site.workers[name].incarnation


class RenewingHarness(test_crashing_tasks.CrashHarness):
    """No task crashes workers; an idle worker can be renewed as well."""

    def __init__(self, count):
        super().__init__(*test_crashing_tasks.workers(count))
        self.crashing = set()

    def renew(self, name):
        """Renew leases on a worker and take its report."""
        test_dispatcher.DispatcherHarness.renew_leases(self, name)

    def end_task(self, name, job=JOB):
        """Let a job's only run on a worker end as done; return its task."""
        (task,) = (t for t in self.workers[name].running if t.job == job)
        self.workers[name].end(task, model.EndKind.DONE)
        return task

    def run_jobs(self, name, count):
        """Let a worker run jobs of one task, and acknowledge their ends."""
        worker = self.workers[name]
        for number in range(count):
            job = ids.JobId(f"{number + 1:016x}")
            self.submit(fakes.job(job, fakes.step()))
            self.play(10, until=lambda: bool(worker.running))
            self.end_task(name, job)
            self.play(1)
        self.renew(name)
        assert not worker.ends

    def start_after_restart(self):
        """Restart a worker between an assignment and the start of its task.

        Return the worker's name.
        """
        self.submit(fakes.job(JOB, test_crashing_tasks.step()))
        (start,) = self.place()
        name = start.worker
        self.workers[name].restart()
        self.send(start)
        self.dispatcher.set_entry(self.entry(name), self.now)
        self.play(0.5)
        assert self.phases(name) == [fleet.RunPhase.RUNNING]
        return name

    def phases(self, name):
        """Return the phases of the runs on a worker."""
        runs = self.dispatcher.workers[ids.WorkerId(name)].runs.values()
        return [run.phase for run in runs]


class TestIdleWorkerWithItsClockSetBack:
    """An idle worker restarts with an earlier start time."""

    def test_gets_tasks(self):
        """Guards against a worker that gets no task for good.

        Its entry counts as outdated until a report tells which incarnation
        runs, and none is requested of an idle worker that has reported.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 7
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(1)
        assert site.dispatcher.workers[name].report_received
        site.workers[name].restart()
        site.workers[name].incarnation = 5
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        for _ in range(60):
            site.play(1)
            # The worker writes its entry about each second.
            site.dispatcher.set_entry(site.entry(name), site.now)
        assert site.running()

    def test_session_requests_a_report(self):
        """Guards against a session that pauses while an entry is in doubt."""

        async def scenario():
            fixture = test_session.SessionFixture()
            now = fixture.clock.uptime()
            fixture.worker.incarnation = 7
            fixture.dispatcher.set_entry(fakes.entry("w1", incarnation=7), now)
            await fixture.session._renew()
            fixture.worker.restart()
            fixture.worker.incarnation = 5
            fixture.dispatcher.set_entry(fakes.entry("w1", incarnation=5), now)
            return fixture.session._needs_renewal()

        assert asyncio.run(scenario())


class TestStopBeforeARestart:
    """A stop was accepted by an incarnation that has ended since.

    The start has not been carried out so far, and its call is under way.
    """

    @staticmethod
    def _stopped_start(site):
        """Send a start that is late, and have it stopped.

        Return the worker's name and the order.
        """
        (start,) = site.place()
        name = start.worker
        worker = site.dispatcher.workers[name]
        late = site.order(worker, start)
        site.dispatcher.settlement.apply_start_outcome(
            worker, start.run, orders.Unknown(detail="late"), site.now
        )
        site.advance(100 * MS)
        site.renew(name)
        site.send_stops()
        assert start.run.stop_accepted
        site.workers[name].restart()
        return name, late

    def test_run_is_stopped(self):
        """Guards against a run that is neither stopped nor goes on.

        The new incarnation does not know of the stop and carries the start
        out, and the stop is not repeated.
        """
        site = RenewingHarness(1)
        site.submit(
            fakes.job(JOB, test_crashing_tasks.step(long_running=True))
        )
        name, late = self._stopped_start(site)
        outcome = site.workers[name].start(late)
        assert isinstance(outcome, orders.Accepted)
        site.play(20)
        assert fleet.RunPhase.STOPPING not in site.phases(name)

    def test_run_does_not_start_beside_the_next_one(self):
        """Guards against a run that counts as ended before it starts.

        The new incarnation does not list the run, but does not refuse its
        start either.
        """
        site = RenewingHarness(2)
        site.submit(
            fakes.job(JOB, test_crashing_tasks.step(long_running=True))
        )
        name, late = self._stopped_start(site)
        site.dispatcher.set_entry(
            fakes.entry(
                name, incarnation=2, state=deployment.WorkerState.DRAINING
            ),
            site.now,
        )
        site.play(2)
        site.workers[name].start(late)
        assert len(site.running()) == 1


class TestPlannedStopWithTheClockSetBack:
    """A worker shuts down as planned, and restarts under its id."""

    @pytest.mark.parametrize("incarnation", [1_000_001, 900_000])
    def test_is_no_crash(self, incarnation):
        """Guards against a planned stop that counts as a crash.

        The entry of the new incarnation is refused as it may be outdated, but
        replaces the one that announced the shutdown.
        """
        site = RenewingHarness(2)
        for name, worker in site.workers.items():
            worker.incarnation = 1_000_000
            site.dispatcher.set_entry(site.entry(name), site.now)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(3, until=lambda: bool(site.running()))
        site.play(0.3)
        (name,) = (n for n, w in site.workers.items() if w.running)
        draining = fakes.entry(
            name,
            incarnation=1_000_000,
            state=deployment.WorkerState.DRAINING,
        )
        site.dispatcher.set_entry(draining, site.now)
        site.workers[name].restart()
        site.workers[name].incarnation = incarnation
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(2)
        tasks = site.dispatcher.jobs[JOB].progress.tasks
        assert tasks[test_crashing_tasks.CRASHING].crashes == 0


class TestUnknownIncarnation:
    """A worker does not report its incarnation."""

    def test_known_one_follows(self):
        """Guards against ends of a new incarnation that are ignored.

        It numbers its ends from 1 again. The task, which is done, was started
        again.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 0
        site.dispatcher = site.new_dispatcher()
        site.run_jobs(name, 3)
        site.workers[name].restart()
        site.workers[name].incarnation = 5
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(1)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(5, until=lambda: bool(site.running()))
        task = site.end_task(name)
        site.play(5)
        assert site.starts(task) == 1

    def test_late_report(self):
        """Guards against ends of a new incarnation that are ignored.

        A report without an incarnation that was requested before the restart
        arrives after the entry of the new incarnation has been read, and its
        numbers of ends count for the new one.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        fake = site.workers[name]
        fake.incarnation = 0
        site.run_jobs(name, 3)
        worker = site.dispatcher.workers[name]
        settlement = site.dispatcher.settlement
        site.submit(fakes.job(OTHER_JOB, fakes.step()))
        site.play(5, until=lambda: bool(site.running(OTHER_JOB)))
        site.end_task(name, OTHER_JOB)
        asked = settlement.next_sequence_number()
        late = fake.renew(
            orders.Renewal(
                token=site.token,
                acknowledged=worker.acknowledged,
                lease_until=None,
            )
        )
        fake.restart()
        fake.incarnation = 0
        site.dispatcher.set_entry(fakes.entry(name, incarnation=2), site.now)
        settlement.apply_report(worker, late, requested_at=asked, now=site.now)
        site.play(1)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(5, until=lambda: bool(site.running()))
        task = site.end_task(name)
        site.play(5)
        assert site.starts(task) == 1


class TestStartAtAnUnknownIncarnation:
    """A worker restarts while the start of a run is under way."""

    def test_its_end_is_not_acknowledged_unread(self):
        """Guards against a second start of a task that is done.

        The first renewal that the new incarnation receives acknowledged ends
        of the former one, upon which the new one forgets its own.
        """

        async def scenario():
            fixture = test_session.SessionFixture(test_session.SkippingClock())
            session, worker = fixture.session, fixture.worker
            await session._renew()
            await start_one(fixture)
            worker.end(test_session.TASK, model.EndKind.DONE)
            await session._renew()
            (order,) = released(fixture)
            await session._renew()
            assert not worker.ends
            worker.cut_off = True
            await session._renew()
            worker.restart()
            worker.cut_off = False
            await session.start(order)
            (task,) = worker.running
            worker.end(task, model.EndKind.DONE)
            await session._renew()
            return worker.ends

        assert asyncio.run(scenario())

    def test_loss_is_noted_under_the_incarnation_that_lists_the_run(self):
        """Guards against a crash that counts for a worker that is alive.

        The run was assigned to the former incarnation, and the new one has
        carried out its start and listed it.
        """
        site = RenewingHarness(3)
        name = site.start_after_restart()
        site.workers[name].cut_off = True
        site.dispatcher.remove_entry(name)
        site.play(30, until=lambda: not site.dispatcher.workers[name].runs)
        site.workers[name].cut_off = False
        site.dispatcher.set_entry(site.entry(name), site.now)
        tasks = site.dispatcher.jobs[JOB].progress.tasks
        assert tasks[test_crashing_tasks.CRASHING].crashes == 0


class TestRecoveredRunOfAnUnknownIncarnation:
    """The stored assignment names an incarnation that did not start the run.

    A new leader leads, which the worker does not answer for some time.
    """

    def test_is_no_crash(self):
        """Guards against a crash that counts for a worker that is alive.

        The run was assigned to the former incarnation, and the new one has
        carried out its start and listed it to the former leader.
        """
        site = RenewingHarness(1)
        name = site.start_after_restart()
        site.workers[name].cut_off = True
        site.take_over()
        site.play(40, until=lambda: not site.dispatcher.workers[name].runs)
        tasks = site.dispatcher.jobs[JOB].progress.tasks
        assert tasks[test_crashing_tasks.CRASHING].crashes == 0


class TestOutdatedEntry:
    """An entry of an incarnation that has certainly ended is read again."""

    def test_its_state_does_not_count(self):
        """Guards against runs that are stopped for a former shutdown.

        The entry is refused as outdated, but the leader stopped the services
        of the running incarnation, as the former one had been draining.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        site.workers[name].restart()
        site.renew(name)
        worker = site.dispatcher.workers[ids.WorkerId(name)]
        assert worker.former_incarnations == {1}
        site.dispatcher.set_entry(site.entry(name), site.now)
        service = test_crashing_tasks.step(long_running=True)
        site.submit(fakes.job(JOB, service))
        site.play(3)
        assert site.running()
        former = fakes.entry(
            name, incarnation=1, state=deployment.WorkerState.DRAINING
        )
        site.dispatcher.set_entry(former, site.now)
        site.play(0.5)
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.play(3)
        assert site.starts() == 1


class TestAnswerOfAnotherWorker:
    """Another worker answers at the address of a worker that has moved."""

    def test_entry_that_was_read_meanwhile_holds(self):
        """Guards against a listed worker that counts as unlisted.

        The request was sent to the address of the former incarnation, and the
        entry of the new one was read before the answer arrived.
        """

        async def scenario():
            fixture = test_session.SessionFixture()
            await fixture.start()

            async def moved(entry, order):
                fixture.worker.restart()
                moved_to = dataclasses.replace(
                    fakes.entry("w1", incarnation=2), address="127.0.0.1:2"
                )
                fixture.dispatcher.set_entry(moved_to, fixture.clock.uptime())
                raise exceptions.IncarnationEndedError(message="moved")

            fixture.workers.renew = moved
            fixture.clock.sleep = skip_sleep
            await fixture.session._renew()
            return fixture.session.worker.listed

        assert asyncio.run(scenario())


def released(fixture):
    """Place one task, and return the starts that a commit releases."""
    now = fixture.clock.uptime()
    fixture.dispatcher.place(now, now, 1)
    return fixture.dispatcher.committed(fixture.dispatcher.next_saves(10), now)


async def start_one(fixture):
    """Place and start one task."""
    (order,) = released(fixture)
    await fixture.session.start(order)


async def skip_sleep(delay):
    """Return at once instead of sleeping."""


class TestEntryWithALaterStartTime:
    """An entry of a former incarnation has a later start time.

    The leader has not heard of that incarnation before, as it called the
    worker by what a former leader had stored of its entry.
    """

    def test_no_end_is_acknowledged_before_it_is_stored(self):
        """Guards against an end that is lost with the leader.

        The entry passes for a restart, after which the leader took an end
        that it had not stored yet for one that it need not store.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 900_000
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(3)
        site.entries = ()
        site.take_over()
        site.dispatcher.restore_entry(name, "127.0.0.1:1", draining=False)
        site.play(1)
        task = site.end_task(name)
        site.renew(name)
        former = fakes.entry(name, incarnation=1_000_000)
        site.dispatcher.set_entry(former, site.now)
        for _ in range(2):
            site.renew(name)
        # No commit has stored the end so far.
        site.entries = (name,)
        site.take_over()
        site.play(5)
        assert site.starts(task) == 1

    def test_worker_that_is_cut_off_has_not_crashed(self):
        """Guards against a certain crash that counts for a living worker.

        After the entry, the worker is out of reach until its leases end.
        """
        site = RenewingHarness(1)
        (name,) = site.workers
        site.workers[name].incarnation = 900_000
        site.dispatcher.set_entry(site.entry(name), site.now)
        site.submit(fakes.job(JOB, test_crashing_tasks.step()))
        site.play(1)
        site.entries = ()
        site.take_over()
        site.dispatcher.restore_entry(name, "127.0.0.1:1", draining=False)
        site.play(0.5)
        former = fakes.entry(name, incarnation=1_000_000)
        site.dispatcher.set_entry(former, site.now)
        site.workers[name].cut_off = True
        site.play(40, until=lambda: not site.dispatcher.workers[name].runs)
        tasks = site.dispatcher.jobs[JOB].progress.tasks
        assert tasks[test_crashing_tasks.CRASHING].crashes == 0


class Harness(test_dispatcher.DispatcherHarness):
    """A dispatcher that reads the worker entries that have been written.

    :ivar written: incarnation in each worker's entry in the store.
    """

    def __init__(self, *names):
        self.written = dict.fromkeys(names, 1)
        super().__init__(*names)

    def new_dispatcher(self):
        new = super().new_dispatcher()
        new.workers.clear()
        for name in self.written:
            new.set_entry(self.entry(name), self.now)
        return new

    def entry(self, name):
        return fakes.entry(name, incarnation=self.written[name])

    def read_registry(self):
        for name in self.written:
            self.dispatcher.set_entry(self.entry(name), self.now)


class Machine(stateful.RuleBasedStateMachine):
    """A worker restarts with any start time; what tells of it is late."""

    def __init__(self):
        super().__init__()
        self.harness = Harness(*NAMES)
        self.harness.submit(fakes.job("00000000000000aa", fakes.step(4)))
        self.harness.step()
        self.used = {1}
        # Requested reports that have not arrived: the number of the request,
        # and the report.
        self.reports = []

    @property
    def restarting(self):
        return self.harness.workers[RESTARTING]

    @stateful.rule(
        incarnation=strategies.integers(1, 1000),
        asked=strategies.booleans(),
        registered=strategies.booleans(),
    )
    def restart(self, incarnation, asked, registered):
        """Restart the worker.

        :param asked: whether a report of the former incarnation is late.
        :param registered: whether the leader reads the new entry at once.
        """
        if incarnation in self.used:
            return
        self.used.add(incarnation)
        if asked:
            self.request_report()
        self.restarting.restart()
        self.restarting.incarnation = incarnation
        if registered:
            self.write_entry()
            self.harness.read_registry()

    @stateful.rule()
    def write_entry(self):
        self.harness.written[RESTARTING] = self.restarting.incarnation

    @stateful.rule()
    def read_registry(self):
        self.harness.read_registry()

    @stateful.rule()
    def request_report(self):
        """Request a report that arrives later."""
        dispatcher = self.harness.dispatcher
        asked = dispatcher.settlement.next_sequence_number()
        renewal = orders.Renewal(
            token=self.harness.token,
            acknowledged=dispatcher.workers[RESTARTING].acknowledged,
            lease_until=None,
        )
        self.reports.append((asked, self.restarting.renew(renewal)))

    @stateful.rule()
    def deliver_reports(self):
        reports, self.reports = self.reports, []
        for asked, report in reports:
            self.harness.dispatcher.settlement.apply_report(
                self.harness.dispatcher.workers[RESTARTING],
                report,
                requested_at=asked,
                now=self.harness.now,
            )

    @stateful.rule()
    def step(self):
        self.harness.advance(200 * MS)
        self.harness.step()

    @stateful.rule()
    def take_over(self):
        self.reports = []
        self.harness.take_over()

    @stateful.invariant()
    def one_run_of_each_task(self):
        running = [
            task
            for worker in self.harness.workers.values()
            for task in worker.running
        ]
        assert len(running) == len(set(running)), running

    @stateful.rule()
    def calm_down(self):
        """Check that the worker is heard once nothing is late any more."""
        self.deliver_reports()
        self.write_entry()
        self.read_registry()
        for _ in range(3):
            self.step()
        worker = self.harness.dispatcher.workers[RESTARTING]
        assert worker.report_received
        assert worker.incarnation == self.restarting.incarnation


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
