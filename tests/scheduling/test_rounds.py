"""Tests of queue order, quotas, waiting, failures and preemption."""

from tests.scheduling import zones
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import decision_round
from turmerichook._internal.scheduling import explanations
from turmerichook._internal.scheduling import plan
from turmerichook._internal.scheduling import quotas
from turmerichook._internal.scheduling import state as states


class TestOrder:
    """Tiers, fair shares, start-by times and quotas."""

    def test_tiers(self):
        # Guards against batch tasks that take capacity before services, and
        # normal services that take it before urgent ones.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", zones.cores(1))
        zones.submit(zone, "service/normal/a", zones.cores(1))
        zones.submit(
            zone,
            "service/urgent/a",
            zones.cores(1),
            urgency=site.Urgency.URGENT,
        )
        order = [c.task.split("/")[1] for c in zones.run(zone).starts]
        assert order == ["urgent", "normal", "j"]

    def test_weighted_shares(self):
        # Guards against a team that gets all capacity because it submits many
        # tasks before another team.
        zone = zones.make_zone(
            6,
            big=site.Team(team="big", weight=2.0),
            small=site.Team(team="small", weight=1.0),
        )
        zones.submit(zone, "job/flood", count=1000, team="small")
        zones.submit(zone, "job/late", count=1000, team="big")
        started = [plan.job_of(c.task) for c in zones.run(zone).starts]
        assert (started.count("late"), started.count("flood")) == (16, 8)

    def test_start_by_orders_a_team(self):
        # Guards against a declared start-by time that does not affect the
        # order of a team's jobs.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/first")
        zones.submit(zone, "job/soon", start_by=9 * zones.SECOND)
        zones.submit(zone, "job/sooner", start_by=5 * zones.SECOND)
        order = [plan.job_of(c.task) for c in zones.run(zone).starts]
        assert order == ["sooner", "soon", "first"]

    def test_quota(self):
        # Guards against a team that exceeds its quota, and against its
        # waiting tasks blocking those of other teams.
        team = site.Team(team="t", quota=zones.cores(2))
        zone = zones.make_zone(1, t=team)
        zones.submit(
            zone, "job/j", resources.Resources(millicores=1000), count=3
        )
        zones.submit(zone, "job/k", resources.Resources(millicores=3000))
        zones.submit(zone, "job/other", team="other")
        started = [plan.job_of(c.task) for c in zones.run(zone).starts]
        assert sorted(started) == ["j", "j", "other"]
        assert (
            zones.reason_of(zone, "job/j/2") is outcomes.Reason.QUOTA_REACHED
        )
        assert (
            zones.reason_of(zone, "job/k/0") is outcomes.Reason.QUOTA_TOO_SMALL
        )

    def test_zone_shares_add_up(self):
        # Guards against rounding by which the zones together allow more or
        # less than the quota.
        names = [ids.ZoneId(f"z{n}") for n in range(7)]
        listed = {
            n: site.Zone(zone=n, region=ids.RegionId("r")) for n in names
        }
        configuration = site.Configuration(zones=listed)
        quota = resources.Resources(
            millicores=9_999, memory_mib=5, accelerators=2
        )
        total = resources.NOTHING
        for name in names:
            part = quotas.zone_share(quota, "t", name, configuration)
            total = total.plus(part)
        assert total == quota


class TestWaiting:
    """Tasks that cannot start block no others; the reason is logged once."""

    def test_unplaceable_tasks_do_not_block_others(self):
        # Guards against a task that can never run and blocks the queue for
        # the tasks behind it.
        zone = zones.make_zone(1)
        accelerated = resources.Resources(millicores=1, accelerators=1)
        zones.submit(zone, "job/large", zones.cores(5))
        zones.submit(zone, "job/accelerated", accelerated)
        zones.submit(zone, "job/elsewhere", zones=(ids.ZoneId("b"),))
        zones.submit(zone, "job/fine")
        result = zones.run(zone)
        assert [c.task for c in result.starts] == ["job/fine/0"]
        assert (
            zones.reason_of(zone, "job/large/0") is outcomes.Reason.NEVER_FITS
        )
        assert (
            zones.reason_of(zone, "job/accelerated/0")
            is outcomes.Reason.NO_ACCELERATORS
        )
        assert (
            zones.reason_of(zone, "job/elsewhere/0")
            is outcomes.Reason.NO_ZONE_OPEN
        )

    def test_reason_is_logged_when_it_changes(self):
        # Guards against a flooded log, by a line for each waiting task in
        # each round.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/full", zones.cores(4))
        zones.run(zone)
        zones.submit(zone, "job/j", zones.cores(4), count=50)
        waits = [len(zones.run(zone, second).waits) for second in range(5)]
        assert waits == [1, 0, 0, 0, 0]

    def test_rank_and_missing_room(self):
        # Guards against an explanation that ranks a workload among those of
        # its own team only.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/full", zones.cores(3))
        zones.run(zone)
        zones.submit(
            zone, "job/a", zones.cores(2), urgency=site.Urgency.URGENT
        )
        zone.tasks[ids.TaskId("job/full/0")].phase = states.Phase.ASSIGNED
        zones.submit(zone, "job/b", zones.cores(2), team="other")
        zones.submit(zone, "job/c", zones.cores(2))
        zones.run(zone)
        explanation = explanations.explain(
            zone, ids.TaskId("job/c/0"), zones.SECOND
        )
        assert (explanation.rank, explanation.change) == (
            2,
            explanations.Change.ROOM,
        )
        assert explanation.missing == resources.Resources(millicores=1_000)

    def test_deadline(self):
        # Guards against a job that waits on, and is started after its
        # deadline.
        zone = zones.make_zone(1)
        zones.submit(
            zone, "job/j", zones.cores(4), count=2, deadline=5 * zones.SECOND
        )
        zones.run(zone)
        zones.run(zone, 5)
        fault = zone.failed[ids.JobId("j")]
        assert fault.reason is outcomes.Reason.DEADLINE_PASSED


class TestFailures:
    """Retry delays grow, and a job that fails on all hosts ends."""

    def test_delays_and_end(self):
        # Guards against a broken task that is started in every round, five
        # times a second, for ever.
        zone = zones.make_zone(4)
        zones.submit(zone, "job/j")
        starts = []
        for second in range(1_000):
            for command in zones.run(zone, second).starts:
                starts.append((second, command.host))
                zone.returned(
                    command.task,
                    command.attempt,
                    checkpoint=None,
                    now=second * zones.SECOND,
                    failed=True,
                )
        times = [second for second, _ in starts]
        delays = [b - a for a, b in zip(times, times[1:])]
        assert delays == [1, 2, 4, 8, 16, 32, 64, 128, 256]
        assert len({host for _, host in starts[:4]}) == 4
        fault = zone.failed[ids.JobId("j")]
        assert fault.reason is outcomes.Reason.FAILS_EVERYWHERE


class TestPreemption:
    """Preemption stops the cheapest tasks, and no more than needed."""

    def zone_of_batch(self) -> states.ZoneTasks:
        """Return a full host with tasks started at 0, 2, 4 and 6 seconds."""
        zone = zones.make_zone(1)
        for number in range(4):
            zones.submit(zone, f"job/{number}")
            zones.run(zone, 2 * number)
        return zone

    def test_cheapest_and_only_as_many_as_needed(self):
        # Guards against stopping the tasks with the most unsaved work, or
        # more tasks than needed.
        zone = self.zone_of_batch()
        zones.submit(
            zone, "job/u", zones.cores(2), urgency=site.Urgency.URGENT
        )
        result = zones.run(zone, 8)
        assert [c.stop.task for c in result.stops] == ["job/3/0", "job/2/0"]
        assert all(c.stop.checkpoint for c in result.stops)

    def test_large_victim_makes_small_ones_superfluous(self):
        # Guards against a greedy choice by cost that stops a small task
        # though a larger victim, chosen next, frees enough alone.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/large", zones.cores(3))
        zones.run(zone, 7)
        zones.submit(zone, "job/small", zones.cores(1))
        zones.run(zone, 8)
        zones.submit(
            zone, "job/u", zones.cores(3), urgency=site.Urgency.URGENT
        )
        result = zones.run(zone, 9)
        assert [c.stop.task for c in result.stops] == ["job/large/0"]

    def test_freed_capacity_is_reserved(self):
        # Guards against a waiting batch task that takes the capacity that
        # preemption frees for an urgent task.
        zone = self.zone_of_batch()
        zones.submit(
            zone, "job/u", zones.cores(2), urgency=site.Urgency.URGENT
        )
        stops = zones.run(zone, 8).stops
        zones.submit(zone, "job/greedy", count=9)
        started = []
        for command in stops:
            stop = command.stop
            zone.returned(
                stop.task, stop.attempt, checkpoint="c", now=9 * zones.SECOND
            )
            started += [c.task for c in zones.run(zone, 9).starts]
        assert started == ["job/u/0"]

    def test_urgent_work_is_never_a_victim(self):
        # Guards against urgent tasks that preempt each other in turn.
        zone = zones.make_zone(1)
        zones.submit(
            zone, "job/a", zones.cores(4), urgency=site.Urgency.URGENT
        )
        zones.run(zone)
        zones.submit(
            zone, "job/b", zones.cores(4), urgency=site.Urgency.URGENT
        )
        assert not zones.run(zone, 1).stops

    def test_tasks_that_begin_to_run_become_victims(self):
        # Guards against an urgent task that waits until capacity is released
        # although it could preempt: when it was submitted, the tasks on the
        # host were assigned but not yet running, and the failed search for
        # victims was not repeated once they ran.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", zones.cores(4))
        [command] = decision_round.decide(zone, zones.SECOND, 10).starts
        zones.submit(
            zone, "job/u", zones.cores(1), urgency=site.Urgency.URGENT
        )
        assert not zones.run(zone, 2).stops
        zone.running(command.task, command.attempt, "", 3 * zones.SECOND)
        [stop] = zones.run(zone, 3).stops
        assert stop.stop.task == command.task

    def test_failed_searches_are_not_repeated(self):
        # Guards against a search for victims on all hosts in each round
        # although nothing has changed, and against workloads that never get
        # a search since those before them use up the limit of each round.
        zone = zones.make_zone(1)
        zones.submit(zone, "service/s/a", zones.cores(3))
        zones.submit(zone, "job/j")
        zones.run(zone)
        for number in range(30):
            zones.submit(
                zone,
                f"job/u{number}",
                resources.Resources(millicores=4_000 - number),
                urgency=site.Urgency.URGENT,
                team=f"t{number}",
            )
        zones.submit(zone, "job/small", urgency=site.Urgency.URGENT, team="z")
        stops = [len(zones.run(zone, 1).stops) for _ in range(3)]
        assert sum(stops) == 1
        assert zones.run(zone, 1).searches == 0

    def test_no_preemption_on_refused_hosts(self):
        # Guards against tasks that are stopped on a host that the co-location
        # rules then refuse, and against a refusal for one task class that
        # also prevents preemption for another class.
        zone = zones.make_zone(2)
        zones.submit(zone, "job/j", count=8)
        zones.run(zone)

        def advise(spec, amount, host, now):
            if host == "h0" or spec.task.startswith("job/bad"):
                return outcomes.Absent(reason=outcomes.Reason.SERVICE_AT_RISK)
            return 0.0

        zone.adviser.advise = advise
        for name in ("bad", "good"):
            zones.submit(zone, f"job/{name}", urgency=site.Urgency.URGENT)
        [stop] = zones.run(zone, 1).stops
        assert stop.host == "h1"
        assert list(zone.reserved) == ["job/good/0"]
