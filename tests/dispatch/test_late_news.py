"""Tests of news of workers' incarnations that arrives late or out of order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.dispatch import fakes
from tests.dispatch import test_crashes_and_leaders
from tests.dispatch import test_dispatcher
from turmerichook._internal.dispatch import orders

MS = fakes.MS
SECOND = fakes.SECOND
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
        self.harness.check_single_runs()

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
