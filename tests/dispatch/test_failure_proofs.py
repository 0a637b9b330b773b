"""Tests that no job fails without a proof, under faults drawn at random.

The proofs are listed in ``docs/platform.md``, "When a job is shown as failed".
"""

import asyncio
import collections
import dataclasses
import datetime
import random

import pytest

from tests.dispatch import fakes
from tests.dispatch import test_crashing_tasks
from tests.dispatch import test_dispatcher
from tests.dispatch import test_inherited_leases
from tests.dispatch import test_lapsed_runs
from tests.dispatch import test_leader
from turmerichook._internal.dispatch import crashes
from turmerichook._internal.dispatch import orders
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored

MS = fakes.MS
SECOND = fakes.SECOND
NEVER = datetime.timedelta(days=1)
WORKERS = 9
ZONES = 3
# The registry drops the entry of a worker that has not written it for this
# time: three heartbeats.
ENTRY_KEPT = 3 * SECOND
# Time in which a worker that reaches the store again writes its entry.
ENTRY_BACK_MAX = 2
# Rules: machines are in touch ``contact`` after the last fault. LOST allows
# 4 s and then 3 s more for a task that does not run; 6 s if it lasts.
RUNS_AGAIN_SECONDS = fakes.TIMING.contact / SECOND + 7
# Time of a play in which faults occur: several times that of a lease.
FAULTS_SECONDS = 90
# Crashes of workers under a task from which on it may be given up.
CRASHES_PROVEN = 2
# Longest cut; shorter than the time after which a worker that was lost counts
# as gone, which is no proof.
CUT_SECONDS_MAX = 30
LEADER_FAULTS = ("planned-leader", "lost-leader", "leader-after-commit")
CUTS = ("cut-worker", "cut-workers", "cut-zone")
FAULTS = (
    *CUTS,
    "planned-stop",
    "power",
    *LEADER_FAULTS,
    "lost-answers",
    "late-answers",
)
# Faults of each mix, and how often they occur beside one another.
MIXES = {
    "all": dict.fromkeys(FAULTS, 1),
    "cuts": {**dict.fromkeys(CUTS, 3), "lost-answers": 2, "late-answers": 2},
    "cuts-at-starts": {
        "cut-at-start": 6,
        "cut-zone": 1,
        "planned-leader": 1,
        "lost-leader": 1,
    },
    "cuts-at-starts-and-power": {"cut-at-start": 6, "power": 2},
    "planned-stops": {
        "planned-stop": 6,
        "cut-worker": 2,
        **dict.fromkeys(LEADER_FAULTS, 1),
    },
    "leaders": {
        **dict.fromkeys(LEADER_FAULTS, 2),
        **dict.fromkeys(CUTS, 1),
        "planned-stop": 1,
        "lost-answers": 1,
        "late-answers": 1,
    },
    "power": {"power": 3, **dict.fromkeys((*CUTS, *LEADER_FAULTS), 1)},
}
SERVICE_JOB = ids.JobId("00000000000000c0")
SERVING_GANG_JOB = ids.JobId("00000000000000c1")
TIMED_JOB = ids.JobId("00000000000000c2")
DRAINING = deployment.WorkerState.DRAINING
READY = deployment.WorkerState.READY


class FaultySite(test_lapsed_runs.CutHarness):
    """A site of workers that do not crash by the fault of a task.

    :ivar registry: entries that the store holds, by worker.
    :ivar cut_until: for each worker that the leader does not reach, until
        when.
    :ivar store_cut_until: the same for workers that do not reach the store.
    :ivar down_until: the same for workers whose process does not run.
    :ivar leaves_at: when the workers exit that shut down as planned; later if
        no leader has seen and noted it by then.
    :ivar seen_draining: those of them of which a leader has.
    :ivar leader_back_at: until when there is no leader.
    :ivar lost_share: share of the starts whose answers are lost.
    :ivar late_share: share of the starts and reports that are late.
    :ivar late: what happens later, and when.
    :ivar noted: workers that the last commit names to the next leader, and
        whether they were draining.
    :ivar crashes_under: for each task, how many processes of workers that ran
        it have ended without notice.
    :ivar fail_share: share of the short tasks' runs that end as ``failed``.
    :ivar failed_ends: for each task, how many of its runs have ended so.
    """

    def __init__(self, draw):
        self.draw = draw
        self.registry = {}
        self.cut_until = {}
        self.store_cut_until = {}
        self.down_until = {}
        self.leaves_at = {}
        self.seen_draining = set()
        self.silent_since = {}
        self.listed_at = {}
        self.leader_back_at = None
        self.lost_share = self.late_share = 0.0
        self.calm_answers_at = None
        self.late = []
        self.report_late = set()
        self.noted = {}
        self.crashes_under = collections.Counter()
        self.fail_share = 0.0
        self.failed_ends = collections.Counter()
        self.began = {}
        self.gangs_together = {}
        self.number = 0
        super().__init__(WORKERS)
        for name in self.workers:
            self.publish(name)
        self.entries = tuple(self.workers)

    # Registry

    def present_entry(self, name):
        """Return what a worker writes to the registry."""
        number = int(name[1:])
        return fakes.entry(
            name,
            incarnation=self.workers[name].incarnation,
            state=DRAINING if name in self.leaves_at else READY,
            zone=ids.ZoneId(f"z{number % ZONES}"),
        )

    def entry(self, name):
        return self.registry[name]

    def publish(self, name):
        """Write a worker's entry; the leader, if there is one, reads it."""
        self.registry[name] = self.present_entry(name)
        if self.leader_back_at is None:
            self.dispatcher.set_entry(self.registry[name], self.now)

    def unlist(self, name):
        """Remove a worker's entry."""
        if self.registry.pop(name, None) and self.leader_back_at is None:
            self.dispatcher.remove_entry(ids.WorkerId(name))

    # Faults

    def cut(self, *names, seconds, store=True):
        """Cut workers off from the leader, and from the store as well."""
        for name in names:
            until = self.now + seconds * SECOND
            self.cut_until[name] = max(until, self.cut_until.get(name, until))
            if store:
                self.store_cut_until[name] = self.cut_until[name]

    def stop_process(self, *names, seconds, planned=False):
        """End processes of workers, which are back after a time."""
        for name in names:
            if not planned:
                self.crashes_under.update(self.workers[name].running)
            self.workers[name].restart()
            self.workers[name].lease_until = fakes.SECOND * 0
            self.leaves_at.pop(name, None)
            self.seen_draining.discard(name)
            self.down_until[name] = self.now + seconds * SECOND
            for key in [k for k in self.began if k[0] == name]:
                del self.began[key]

    def take_over(self):
        self.report_late.clear()
        self.leader_back_at = None
        self.entries = ()
        # The store has no submission of a final job any more.
        specs, final = self.specs, self.final_jobs()
        self.specs = {j: s for j, s in specs.items() if j not in final}
        super().take_over()
        self.specs = specs
        for name, draining in self.noted.items():
            self.dispatcher.restore_entry(
                name, "127.0.0.1:1", draining=draining
            )
        for entry in self.registry.values():
            self.dispatcher.set_entry(entry, self.now)

    def new_dispatcher(self):
        new = super().new_dispatcher()
        if self.registry:
            # A new leader reads the jobs before the registry.
            new.workers.clear()
        for job in self.final_jobs():
            remainder = stored.decode_unfinished_runs(job, self.saved[job])
            new.add_final(job, remainder, self.now)
        return new

    def final_jobs(self):
        return [
            job
            for job, value in self.saved.items()
            if stored.decode_state(job, value).final
        ]

    def fault(self, kind):
        """Let a fault begin."""
        draw = self.draw
        names = list(self.workers)
        seconds = draw.choice((0.3, 1, 3, 8, 13, 20, CUT_SECONDS_MAX))
        match kind:
            case "cut-worker":
                name = draw.choice(self.holders() or names)
                self.cut(name, seconds=seconds, store=draw.random() < 0.7)
            case "cut-at-start":
                # Until its leases have ended, as the task starts elsewhere.
                self.play(20, until=lambda: bool(self.holders(self.cut_until)))
                self.play(0.3)
                seconds = draw.choice((13, 20, CUT_SECONDS_MAX))
                self.cut(*self.holders(self.cut_until), seconds=seconds)
            case "cut-workers":
                some = draw.sample(names, draw.randint(2, 5))
                self.cut(*some, seconds=seconds, store=draw.random() < 0.7)
            case "cut-zone":
                zone = draw.randrange(ZONES)
                self.cut(*names[zone::ZONES], seconds=seconds)
            case "planned-stop":
                name = draw.choice(names)
                if name in self.registry and name not in self.store_cut_until:
                    self.stop_as_planned(name)
            case "power":
                self.stop_process(*names, seconds=draw.uniform(0.5, 4))
            case "planned-leader":
                self.take_over()
            case "lost-leader":
                self.leader_back_at = self.now + draw.uniform(0.3, 9) * SECOND
            case "leader-after-commit":
                self.change_leader_after_commit()
            case "lost-answers":
                self.lost_share = draw.uniform(0.2, 1)
                self.calm_answers_at = self.now + 3 * SECOND
            case "late-answers":
                self.late_share = draw.uniform(0.2, 0.8)
                self.calm_answers_at = self.now + 3 * SECOND

    def stop_as_planned(self, name):
        """Let a worker drain, and exit after the announced time."""
        if name in self.leaves_at or name in self.down_until:
            return
        linger = self.draw.uniform(0.1, 2) * SECOND
        self.leaves_at[name] = self.now + fakes.TIMING.drain_timeout + linger
        self.publish(name)

    def change_leader_after_commit(self):
        """Change the leader between a commit and its starts.

        The starts are never sent, or arrive late, or the commit was lost.
        """
        if self.leader_back_at is not None:
            return
        saves = self.begin(100, 100)
        if self.draw.random() < 0.7:
            starts = self.commit(saves)
            if self.draw.random() < 0.5:
                for start in starts:
                    self.send_late(start)
        self.leader_back_at = self.now + self.draw.choice((0, 1, 4)) * SECOND

    # Passing of time

    def advance(self, span):
        super().advance(span)
        for name, leaves_at in list(self.leaves_at.items()):
            if self.now >= leaves_at and name in self.seen_draining:
                seconds = self.draw.uniform(0.5, 3)
                self.stop_process(name, seconds=seconds, planned=True)
                self.unlist(name)
        for ends in (self.cut_until, self.store_cut_until, self.down_until):
            for name in [n for n, until in ends.items() if self.now >= until]:
                del ends[name]
        for name, worker in self.workers.items():
            worker.cut_off = name in self.cut_until or name in self.down_until
            self.update_registry(name)
        if self.calm_answers_at and self.now >= self.calm_answers_at:
            self.lost_share, self.late_share = 0.0, 0.0
            self.calm_answers_at = None
        if self.leader_back_at is not None and self.now >= self.leader_back_at:
            self.take_over()
        due = [action for at, action in self.late if at <= self.now]
        self.late = [item for item in self.late if item[0] > self.now]
        for action in due:
            action()
        self.work()

    def update_registry(self, name):
        """List or unlist a worker, depending on whether it can write."""
        if name in self.store_cut_until or name in self.down_until:
            self.listed_at.pop(name, None)
            since = self.silent_since.setdefault(name, self.now)
            if self.now - since >= ENTRY_KEPT:
                self.unlist(name)
            return
        if self.silent_since.pop(name, None) is not None:
            delay = self.draw.uniform(0.1, ENTRY_BACK_MAX) * SECOND
            self.listed_at[name] = self.now + delay
        if self.now < self.listed_at.get(name, self.now):
            return
        self.listed_at.pop(name, None)
        if self.registry.get(name) != self.present_entry(name):
            self.publish(name)

    def step(self):
        if self.leader_back_at is None:
            self.dispatcher.open_all_due(self.now, self.now)
            super().step()
            self.seen_draining.update(
                name
                for name, worker in self.dispatcher.workers.items()
                if worker.draining and name in self.leaves_at
            )
        self.check()

    # Calls of workers

    def renew_leases(self, name):
        worker = self.dispatcher.workers.get(ids.WorkerId(name))
        if worker is None or worker.entry is None or name in self.report_late:
            return
        if self.draw.random() >= self.late_share:
            super().renew_leases(name)
            return
        fake = self.workers[name]
        if fake.cut_off:
            return
        dispatcher = self.dispatcher
        asked = dispatcher.settlement.next_sequence_number()
        until = None
        if worker.clock is not None:
            until = worker.grant_lease(self.now, fakes.TIMING.lease_max)
        report = fake.renew(
            orders.Renewal(
                token=self.token,
                acknowledged=worker.acknowledged,
                lease_until=until,
            )
        )

        def arrive():
            if self.dispatcher is dispatcher:
                self.report_late.discard(name)
                dispatcher.settlement.apply_report(
                    worker, report, requested_at=asked, now=self.now
                )

        self.report_late.add(name)
        self.delay(arrive, 1)

    def delay(self, action, seconds):
        at = self.now + self.draw.uniform(0.1, seconds) * SECOND
        self.late.append((at, action))

    def send(self, start, lose=False):
        fake = self.workers[start.worker]
        other = start.run.incarnation != fake.incarnation
        if other and not fake.cut_off:
            self.outcome(
                start,
                orders.Refused(reason=orders.RefusalReason.OTHER_INCARNATION),
            )
        elif self.draw.random() < self.late_share:
            self.send_late(start)
            self.outcome(start, orders.Unknown(detail="late"))
        else:
            lose = self.draw.random() < self.lost_share
            test_dispatcher.DispatcherHarness.send(self, start, lose=lose)

    def outcome(self, start, outcome):
        self.dispatcher.settlement.apply_start_outcome(
            self.dispatcher.workers[start.worker],
            start.run,
            outcome,
            self.now,
        )

    def send_late(self, start):
        """Let a start reach its worker seconds later."""
        worker = self.dispatcher.workers[start.worker]
        if worker.clock is None:
            return
        order = self.order(worker, start)
        fake = self.workers[start.worker]

        def arrive():
            if start.run.incarnation == fake.incarnation and not fake.cut_off:
                fake.start(order)

        self.delay(arrive, 4)

    def commit(self, saves):
        starts = super().commit(saves)
        self.noted = {
            name: worker.draining
            for name, worker in self.dispatcher.workers.items()
            if worker.runs
            and (worker.draining or not (worker.reachable and worker.listed))
        }
        return starts

    # Tasks

    def submit_drawn(self):
        """Submit a job whose tasks end."""
        self.number += 1
        name = ids.JobId(f"{self.number:016x}")
        step = test_crashing_tasks.step
        kind = self.draw.choice(("short", "steps", "gang", "checkpoints"))
        match kind:
            case "short":
                steps = [step(count=self.draw.randint(1, 6))]
            case "steps":
                steps = [step(count=2), step(count=3, after=(0,))]
            case "gang":
                steps = [step(count=3, gang=True)]
            case "checkpoints":
                steps = [step(count=2, checkpointing=True)]
        self.submit(fakes.job(name, *steps))

    def submit(self, spec):
        if self.leader_back_at is None:
            super().submit(spec)
        else:
            # The next leader reads it.
            self.specs[spec.job] = spec

    def work(self):
        """Let tasks proceed, and end."""
        listed = {
            (name, task, run)
            for name, worker in self.workers.items()
            for task, run in worker.running.items()
        }
        self.began = {
            key: self.began.get(key, self.now)
            for key in sorted(listed, key=str)
        }
        for (name, task, run), began in list(self.began.items()):
            step = self.specs[task.job].steps[task.step]
            if step.long_running or step.gang:
                continue
            needed = random.Random(str(task)).choice((0.5, 1.5, 3, 6))
            if self.now - began >= needed * SECOND:
                kind = model.EndKind.DONE
                if self.fail_share and self.draw.random() < self.fail_share:
                    kind = model.EndKind.FAILED
                    self.failed_ends[task] += 1
                self.workers[name].end(task, kind)

    def break_gangs(self):
        members = collections.defaultdict(list)
        for name, worker in self.workers.items():
            for task, run in worker.running.items():
                if self.specs[task.job].steps[task.step].gang:
                    members[task.step_key, run].append((name, task))
        for key, present in members.items():
            step = self.specs[key[0].job].steps[key[0].step]
            together = len(present) == step.count
            if together:
                since = self.gangs_together.setdefault(key, self.now)
                if step.long_running or self.now - since < 3 * SECOND:
                    continue
                kind = model.EndKind.DONE
            elif key in self.gangs_together:
                kind = model.EndKind.GANG_MEMBER_ENDED
            else:
                kind = model.EndKind.GANG_INCOMPLETE
                present = [
                    (name, task)
                    for name, task in present
                    if self.now
                    - self.began.get((name, task, key[1]), self.now)
                    >= fakes.TIMING.gang_timeout
                ]
            for name, task in present:
                self.workers[name].end(task, kind)

    # Checks

    def check(self):
        """Check that no job fails without proof, and no task runs twice."""
        for job, value in self.saved.items():
            state = stored.decode_state(job, value)
            assert state is not model.JobState.CANCELED
            if state is model.JobState.FAILED:
                assert self.proven(job), f"{job} failed by {self.now}"
        runs = collections.Counter(
            task for w in self.workers.values() for task in w.running
        )
        assert [t for t, count in runs.items() if count > 1] == []

    def proven(self, job):
        """Return whether a task of a job must not be started again."""
        limits = (
            (self.crashes_under, CRASHES_PROVEN),
            (self.failed_ends, fakes.QUEUE.max_attempts),
        )
        return any(
            count >= limit
            for counts, limit in limits
            for task, count in counts.items()
            if task.job == job
        )

    def idle_tasks(self):
        """Return the tasks whose turn has come and which do not run."""
        running = {t for w in self.workers.values() for t in w.running}
        return [
            task
            for job in self.dispatcher.jobs.values()
            if not job.progress.state.final
            for task in job.progress.waiting() + job.progress.assigned()
            if task not in running
        ]

    def play_faults(self, mix, seconds):
        """Let faults occur at random."""
        kinds = list(MIXES[mix])
        weights = [
            weight * self.draw.choice((1, 1, 4))
            for weight in MIXES[mix].values()
        ]
        end = self.now + seconds * SECOND
        # Times with many changes, and times with few.
        pause = self.draw.choice((0.5, 1.5, 4))
        while self.now < end:
            self.fault(*self.draw.choices(kinds, weights))
            if self.draw.random() < 0.3:
                self.submit_drawn()
            self.play(self.draw.uniform(0.1, 2 * pause))

    def end_faults(self):
        """Let all faults end at once; down processes return in 2 s."""
        self.lost_share = self.late_share = 0.0
        self.cut_until.clear()
        self.store_cut_until.clear()
        if self.leader_back_at is not None:
            self.leader_back_at = self.now
        self.play(
            60,
            until=lambda: (
                not (self.leaves_at or self.down_until or self.late)
                and self.leader_back_at is None
                and len(self.registry) == len(self.workers)
            ),
        )


def prepared_site(seed):
    """Return a site with services and other tasks at work."""
    site = FaultySite(random.Random(seed))
    site.submit(
        fakes.job(
            SERVICE_JOB, test_crashing_tasks.step(count=4, long_running=True)
        )
    )
    site.submit(
        fakes.job(
            SERVING_GANG_JOB,
            test_crashing_tasks.step(count=2, gang=True, long_running=True),
        )
    )
    site.submit(
        fakes.job(
            test_crashing_tasks.JOB,
            test_crashing_tasks.step(long_running=True),
        )
    )
    site.submit(
        dataclasses.replace(
            fakes.job(TIMED_JOB, test_crashing_tasks.step(count=2)),
            repetition=model.Repetition(
                count=12, first=site.now, interval=8 * SECOND
            ),
        )
    )
    for _ in range(6):
        site.submit_drawn()
    site.play(1)
    return site


class TestWithoutProof:
    """No run ends as ``failed``; workers crash in losses of power only."""

    # With each of these seeds, ``cuts-at-starts`` fails if the loss of a
    # worker that may be alive counts as a crash.
    @pytest.mark.parametrize("seed", range(4, 8))
    @pytest.mark.parametrize("mix", MIXES)
    def test_no_job_fails_and_all_tasks_run_again(self, mix, seed):
        """Guards against "unknown" that is taken for "no" or "crashed".

        Jobs would fail, run twice, or not go on after the faults.
        """
        site = prepared_site(seed)
        site.play_faults(mix, FAULTS_SECONDS)
        site.end_faults()
        site.play(RUNS_AGAIN_SECONDS, until=lambda: not site.idle_tasks())
        assert site.idle_tasks() == []


class TestFoundByHunts:
    """Plays that failed when they were run by hand."""

    @pytest.mark.parametrize(("mix", "seed"), [("all", 202)])
    def test_no_job_fails(self, mix, seed):
        """Guards against four doubtful crashes in losses of power."""
        site = prepared_site(seed)
        site.play_faults(mix, FAULTS_SECONDS)
        site.end_faults()


class TestFailedEnds:
    """Runs end as ``failed`` beside cuts and changes of the leader."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("mix", ("cuts", "leaders"))
    def test_each_counts_once(self, mix, seed):
        """Guards against an end that two leaders count, or one of no run."""
        site = prepared_site(seed)
        site.fail_share = 0.5
        site.play_faults(mix, FAULTS_SECONDS)
        site.end_faults()
        site.play(RUNS_AGAIN_SECONDS, until=lambda: not site.idle_tasks())
        assert site.idle_tasks() == []
        assert any(
            stored.decode_state(job, value) is model.JobState.FAILED
            for job, value in site.saved.items()
        )


class TestPlannedStopAtAChange:
    """A worker restarts as planned while the leader changes."""

    def test_does_not_count(self, monkeypatch):
        """Guards against a planned stop that counts as a crash.

        The former leader saw the worker drain, and stored it. The worker was
        listed again as another incarnation when its successor read the
        registry.
        """

        def decode(_, key, value):
            worker = key.removeprefix(test_leader.Registry.prefix)
            return fakes.entry(worker, incarnation=int(value or b"1"))

        async def scenario():
            async with test_inherited_leases.new_site() as site:
                first = site.start("a")
                await first.lead()
                await site.run_task(first)
                workers = site.workers.workers
                (name,) = [n for n, w in workers.items() if w.running]
                workers[name].cut_off = False
                leaving = first.leader.dispatcher.workers[name]
                leaving.entry = dataclasses.replace(
                    leaving.entry, state=DRAINING
                )
                # The stop of the task is not carried out.
                site.workers.stop = lambda *_: asyncio.sleep(
                    9, orders.Unknown(detail="lost")
                )
                inherited = first.leader.inherited_leases
                await site.until(lambda: inherited.named)
                await first.kill()
                workers[name].restart()
                site.storage.put(f"workers/{name}", b"2")
                second = site.start("b")
                await second.lead()
                await site.until(lambda: site.starts() == 2)
                jobs = second.leader.dispatcher.jobs
                task = test_inherited_leases.TASK
                return jobs[task.job].progress.tasks[task]

        monkeypatch.setattr(test_leader.Registry, "decode", decode)
        record = asyncio.run(scenario())
        assert (record.crashes, record.unconfirmed) == (0, ())


class TestFailedServices:
    """Tasks that last fail at any time, through no fault of their workers."""

    def test_do_not_close_their_workers(self):
        """Guards against services that wait for workers that are sound.

        Services of several jobs had each failed on a worker after a long run,
        which was then taken for one that fails whatever it starts.
        """
        site = test_crashing_tasks.CrashHarness(
            *test_crashing_tasks.workers(3)
        )
        site.crashing = set()
        jobs = [ids.JobId(f"{number:016x}") for number in range(8)]
        service = test_crashing_tasks.step(count=3, long_running=True)
        for job in jobs:
            site.submit(fakes.job(job, service))
        site.play(10)
        for worker in site.workers.values():
            for task in sorted(worker.running):
                worker.end(task, model.EndKind.FAILED)
                site.play(10)
        site.crash("w0")
        # It does not return.
        site.back_at.clear()
        site.dispatcher.remove_entry(ids.WorkerId("w0"))
        lost = site.dispatcher.workers[ids.WorkerId("w0")]
        site.play(20, until=lambda: not lost.runs)
        # LOST allows 6 s.
        site.play(6)
        assert [len(site.running(job)) for job in jobs] == [3] * len(jobs)


class TestLossOfPower:
    """All workers lose power, some of which had been cut off before."""

    def test_runs_that_had_lapsed_do_not_count(self):
        """Guards against a loss of power that counts as four crashes.

        Four workers of a task were cut off one after another, and their runs
        lapsed. Then all workers restart at the same moment.
        """
        site = test_lapsed_runs.CutHarness(9)
        site.submit(
            fakes.job(test_crashing_tasks.JOB, test_crashing_tasks.step())
        )
        names = test_lapsed_runs.lose_in_turn(site, crashes.CRASHES_MAX)
        for worker in site.workers.values():
            worker.restart()
        for name in set(site.workers) - set(names):
            site.dispatcher.set_entry(site.entry(name), site.now)
        site.reconnect(*names)
        site.play(10)
        assert not site.failed()
        assert len(site.running()) == 1


class TestCutsBesideCrashes:
    """A task crashes its workers soon after they have listed it."""

    @pytest.mark.parametrize("cut", (0, 3))
    def test_starts_are_limited(self, cut):
        """Guards against workers out of reach that count as lost with power.

        Others are cut off, and live, within a second of each crash.
        """
        site = test_lapsed_runs.CutHarness(12)
        site.submit(
            fakes.job(test_crashing_tasks.JOB, test_crashing_tasks.step())
        )
        site.submit(
            fakes.job(
                test_crashing_tasks.OTHER_JOB,
                test_crashing_tasks.step(count=30),
            )
        )
        others = []
        for _ in range(test_crashing_tasks.STARTS_MAX + 1):
            site.play(30, until=lambda: site.failed() or bool(site.holders()))
            for name in others:
                site.workers[name].cut_off = False
            site.play(0.5)
            crashing = site.holders()
            others = [n for n in site.workers if n not in crashing][:cut]
            for name in others:
                site.workers[name].cut_off = True
            site.play(0.2)
            site.crash(*crashing)
        assert site.failed()
        assert site.starts() <= test_crashing_tasks.STARTS_MAX


class TestUnknownIncarnation:
    """A task was lost with a worker whose incarnation is not known."""

    def test_does_not_count_when_the_worker_answers(self):
        """Guards against a crash that only two unlike numbers prove.

        A version that did not store incarnations had assigned the task.
        """
        site = test_lapsed_runs.CutHarness(4)
        site.submit(fakes.job(test_crashing_tasks.JOB))
        site.play(1)
        (name,) = site.holders()
        site.cut(name)
        lost = progresses.LostWorker(ids.WorkerId(name), 0)
        site.record().note_unconfirmed(lost)
        site.dispatcher.run_tracker.note_change(
            test_crashing_tasks.JOB, site.now
        )
        site.step()
        site.take_over()
        site.reconnect(name)
        site.step()
        assert (site.record().crashes, site.record().unconfirmed) == (0, ())
