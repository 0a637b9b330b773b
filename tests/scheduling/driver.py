"""State machine base: a zone with its journal, host list and workers."""

import datetime
import random

from hypothesis import stateful

from tests.scheduling import decision_checker as checkers
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.providers import hosts
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import decisions
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import state as states

ZONE = ids.ZoneId("a")
LIMITED = ids.TeamId("limited")
LIMIT = resources.Resources(millicores=5_000, memory_mib=9_000)
CONFIGURATION = site.Configuration(
    zones={ZONE: site.Zone(zone=ZONE, region=ids.RegionId("r"))},
    teams={
        LIMITED: site.Team(team=LIMITED, quota=LIMIT),
        "free": site.Team(team=ids.TeamId("free"), weight=2.0),
    },
)
SECOND = datetime.timedelta(seconds=1)


class Driver(stateful.RuleBasedStateMachine):
    """A zone, its journal, and the attempts that were sent to workers."""

    def __init__(self):
        super().__init__()
        self.now = datetime.timedelta()
        self.number = 0
        self.listing: dict[str, hosts.Host] = {}
        self.checker = checkers.Checker()
        self.checker.limits[LIMITED] = LIMIT
        self.facts = journal.JournalState()
        # All attempts that were sent; a worker may still report on each of
        # them, also on attempts that are no longer current.
        self.sent: list[states.StartCommand] = []
        self.zone = self.new_zone()
        for name in ("h0", "h1"):
            capacity = resources.Resources(millicores=4_000, memory_mib=8_000)
            self.set_host(name, capacity, hosts.HostState.LIVE)

    def new_zone(self) -> states.ZoneTasks:
        """Return a zone without hosts and tasks, as after a takeover."""
        zone = states.ZoneTasks(zone=ZONE, generator=random.Random(7))
        zone.configure(CONFIGURATION)
        zone.open = True
        return zone

    def set_host(self, name, capacity, state) -> None:
        """Add or change one host in the host list."""
        host = ids.HostId(name)
        self.listing[host] = hosts.Host(
            host=host,
            address="",
            zone=ZONE,
            rack=ids.RackId("r" + name[-1]),
            capacity=capacity,
            state=state,
        )
        self.checker.capacity[host] = capacity
        self.zone.set_hosts(tuple(self.listing.values()))
        if state is hosts.HostState.LIVE:
            self.zone.usable.add(host)
        else:
            self.zone.usable.discard(host)

    def record(self, entries, saved=None) -> None:
        """Apply journal entries to the journal's facts and the checker.

        :param saved: checkpoint that the worker reported with the end of the
            attempt.
        """
        if entries and saved is not None:
            self.checker.histories[entries[0].task].checkpoint = saved
        for entry in entries:
            self.facts.apply(entry)
        self.checker.on_entries(
            [e for e in entries if not isinstance(e, journal.Assigned)]
        )

    def pick(self, pick: int) -> states.StartCommand | None:
        """Return one of the sent attempts, often one that is not current."""
        return self.sent[pick % len(self.sent)] if self.sent else None

    def next_round(self, limit, seconds) -> None:
        """Advance the time, run a round, and check its decisions."""
        self.now += seconds * SECOND
        result = decision_round.decide(self.zone, self.now, limit)
        self.checker.on_round(result, self.zone, self.now)
        self.record(result.entries)
        self.sent += result.starts
        assert len(result.placements) == len(result.starts)
        for placed in result.placements:
            assert decisions.replay(placed.fields()) == placed.command.host

    def forget_failures(self, key: str) -> None:
        """Expect no retry delay for tasks whose records were dropped."""
        for name, history in self.checker.histories.items():
            if plan.split(name)[0] == key:
                history.failures = 0
                history.not_before = datetime.timedelta()

    def teardown(self) -> None:
        """Add a large host and expect that every wanted task runs."""
        spare = resources.Resources(
            millicores=10**6, memory_mib=10**7, accelerators=1000
        )
        self.set_host("spare", spare, hosts.HostState.LIVE)
        # Replicas of the limited team never end, so they may block other tasks
        # of the team by its quota for ever.
        for key, work in self.checker.work.items():
            if work.team == LIMITED and key.startswith("service/"):
                self.zone.withdraw(key, self.now)
        for _ in range(
            4 * (1 + len(self.checker.histories) + self.number * 4)
        ):
            self.next_round(limit=100_000, seconds=4)
            self.now += 400 * SECOND
            if not self._finish_batch() and not self.zone.delayed:
                break
        for key, group in self.zone.groups.items():
            self._check_done(key, group)

    def _finish_batch(self) -> bool:
        progress = False
        for name in list(self.zone.tasks):
            task = self.zone.tasks[name]
            if task.phase is states.Phase.STOPPING:
                entries = self.zone.returned(
                    name, task.attempt, checkpoint=None, now=self.now
                )
            elif task.spec.kind is workers.TaskKind.BATCH:
                entries = self.zone.ended(
                    name, task.attempt, succeeded=True, now=self.now
                )
            else:
                entries = []
            self.record(entries)
            progress = progress or bool(entries)
        return progress

    def _check_done(self, key, group) -> None:
        work = self.checker.work[key]
        if group.halted is not None:
            return
        if work.team == LIMITED and not work.resources.fits(LIMIT):
            return
        for number in range(work.count):
            history = self.checker.histories.get(work.name(number))
            assert history is not None, f"{key}/{number} never started"
            if work.kind is workers.TaskKind.BATCH:
                assert history.finished, f"{key}/{number} was lost"
            else:
                assert history.host is not None, f"{key}/{number} was lost"
