"""Tests of the choice of a worker for a task, grouped by kind of load."""

import datetime

from tests.dispatch import fakes
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal import outcomes
from turmerichook._internal.workflow import model

NOW = datetime.timedelta(seconds=100)
MS = datetime.timedelta(milliseconds=1)


def worker(name, *steps, **fields):
    """Return a reachable worker that runs one task of each given step."""
    result = fleet.Worker(
        worker=ids.WorkerId(name), entry=fakes.entry(name, **fields)
    )
    result.report_received = True
    for number, step in enumerate(steps):
        result.add(
            fleet.Run(
                task=model.TaskKey(ids.JobId(name), 0, 0, number),
                run=ids.Attempt(1),
                step=step,
                phase=fleet.RunPhase.RUNNING,
            )
        )
    return result


def serving(image, millicores=3000):
    """Return a long-running step with a latency target."""
    return fakes.step(
        1,
        long_running=True,
        image=ids.ImageId(image),
        latency_target=50 * MS,
        demand=resources.Resources(millicores=millicores, memory_mib=1000),
    )


def filler(image, millicores=2000):
    """Return a filler step."""
    return fakes.step(
        1,
        filler=True,
        image=ids.ImageId(image),
        demand=resources.Resources(millicores=millicores, memory_mib=1000),
    )


def rank(step, workers, *, reserved, interference, overdue, **fields):
    """Rank workers under the conditions that the other fields give."""
    return placement.Ranking(
        conditions=obstacles.Conditions(
            step=step, service=fakes.SERVICE, **fields
        ),
        workers=workers,
        reserved=reserved,
        interference=interference,
        overdue=overdue,
    )


def choose(step, workers, **fields):
    """Choose a worker, with defaults for conditions that are not given."""
    arguments = {
        "closed": (),
        "approved": None,
        "on_worker": {},
        "last": ids.WorkerId(""),
        "reserved": (),
        "interference": interference.Interference(),
        "overdue": False,
        "now": NOW,
        **fields,
    }
    last = arguments.pop("last")
    ranking = rank(step, workers, **arguments)
    return ranking.take(last)


def model_of(**coefficients):
    """Return a model with coefficients of filler images for ``front``."""
    result = interference.Interference()
    for image, value in coefficients.items():
        key = (ids.ImageId("front"), ids.ImageId(image))
        result.pairs[key] = interference.Estimate(value, 0.001, NOW)
    return result


class TestForbiddenWorkers:
    """A task is not placed on a worker that must not run it."""

    def test_closed_zone(self):
        """Guards against starts in an availability zone that was taken out."""
        workers = [worker("a"), worker("b", zone=ids.ZoneId("tarnow"))]
        chosen = choose(fakes.step(), workers, closed={fakes.ZONE})
        assert chosen.worker == "b"

    def test_leaving_worker(self):
        """Guards against starts on a draining worker."""
        leaving = worker("a", state=deployment.WorkerState.DRAINING)
        assert choose(fakes.step(), [leaving]).reason is (
            outcomes.Reason.NO_FIT
        )

    def test_limit_for_each_worker(self):
        """Guards against too many tasks of a step on one worker."""
        step = fakes.step(3, max_per_worker=1)
        workers = [worker("a"), worker("b")]
        chosen = choose(step, workers, on_worker={"a": 1})
        assert chosen.worker == "b"

    def test_full_worker(self):
        """Guards against tasks that together exceed a worker's capacity."""
        full = worker("a", *[serving("front", 4000)] * 4)
        assert isinstance(choose(fakes.step(), [full]), outcomes.Absent)

    def test_memory_of_fillers_counts(self):
        """Guards against fillers that together exceed a worker's memory."""
        big = fakes.step(
            filler=True,
            demand=resources.Resources(millicores=100, memory_mib=33_000),
        )
        loaded = worker("a", big)
        absent = choose(big, [loaded], overdue=True)
        assert absent.detail == "no-memory:1"

    def test_worker_that_fails_everything(self):
        """Guards against a worker that keeps getting tasks and fails them all.

        Such a worker is always idle, and so the least loaded one.
        """
        faulty, healthy = worker("a"), worker("b", serving("front", 9000))
        for name in "xyz":
            run = fleet.Run(
                task=model.TaskKey(ids.JobId(name), 0, 0, 0),
                run=ids.Attempt(1),
                step=fakes.step(),
                phase=fleet.RunPhase.RUNNING,
            )
            faulty.update_health(model.EndKind.FAILED, run, NOW)
        assert choose(fakes.step(), [faulty, healthy]).worker == "b"
        later = NOW + fleet.SUSPENSION_TIME
        assert choose(fakes.step(), [faulty], now=later).worker == "a"


class TestBatchWave:
    """Many fillers arrive while all workers run serving tasks."""

    def test_filler_goes_where_it_does_no_harm(self):
        """Guards against a filler on a worker where it slows down a task."""
        workers = [worker("a", serving("front")), worker("b", serving("back"))]
        model_ = model_of(heavy=0.2)
        chosen = choose(filler("heavy"), workers, interference=model_)
        assert chosen.worker == "b"

    def test_filler_waits_rather_than_break_a_target(self):
        """Guards against a filler that breaks a latency target."""
        step = filler("heavy", 4000)
        workers = [worker("a", serving("front"))]
        absent = choose(step, workers, interference=model_of(heavy=0.2))
        assert absent.detail == "slows-services:1"

    def test_overdue_job_gets_a_task(self):
        """Guards against a late job whose tasks are never placed again.

        Seen on batbayar-seam scale-2 --seed 781004154454.
        """
        step = filler("heavy", 4000)
        workers = [worker("a", serving("front"))]
        chosen = choose(
            step, workers, interference=model_of(heavy=0.2), overdue=True
        )
        assert chosen.worker == "a"

    def test_slow_service_gets_no_more_fillers(self):
        """Guards against placing a filler while pacing slows others down.

        Seen once on batbayar-seam scale-2 --seed 207238032234.
        """
        hot = worker("a", serving("front"))
        hot.over_target_since = NOW
        absent = choose(filler("light"), [hot], overdue=True)
        assert absent.detail == "slows-services:1"

    def test_fillers_share_only_what_is_idle(self):
        """Guards against fillers that get too little processor time.

        Too many fillers on one worker would share its idle processors.
        """
        crowded = worker("a", *[filler("light")] * 9)
        absent = choose(filler("light"), [crowded])
        assert absent.detail == "no-idle-processors:1"

    def test_stopped_fillers_leave_their_processors(self):
        """Guards against processors left idle for fillers that are stopped.

        Seen on dzwon-ops quiet-1 --seed 33: half of the fillers on workers
        were at a pace of 0.
        """
        crowded = worker("a", *[filler("light")] * 9)
        for run in crowded.runs.values():
            run.pace = 0
        assert choose(filler("light"), [crowded]) is crowded

    def test_harmless_filler_leaves_room_for_others(self):
        """Guards against a harmless filler in a place that a heavy one needs.

        The heavy filler would slow down the other serving tasks.
        """
        workers = [
            worker("a", serving("front")),
            worker("b", serving("back")),
        ]
        model_ = model_of(heavy=0.1, light=0.0)
        model_.pairs[ids.ImageId("back"), ids.ImageId("light")] = (
            interference.Estimate(0.02, 0.001, NOW)
        )
        chosen = choose(filler("light"), workers, interference=model_)
        assert chosen.worker == "a"


class TestServiceImages:
    """Many serving tasks of several images arrive at the same time."""

    def test_tasks_of_one_image_are_packed(self):
        """Guards against serving tasks of one image spread over all workers.

        Then no worker is left on which a filler interferes with nothing.
        """
        workers = [
            worker("a", serving("front")),
            worker("b", serving("back")),
            worker("c"),
        ]
        assert choose(serving("back"), workers).worker == "b"
        assert choose(serving("front"), workers).worker == "a"
        assert choose(serving("other"), workers).worker == "c"

    def test_images_that_must_mix_do_so_on_one_worker(self):
        """Guards against many workers that run several images each.

        Each filler slows down some image there. Seen on batbayar-seam quiet-1
        --seed 11: 19 of 24 workers ran several images, and fillers got a fifth
        of the idle processors.
        """
        workers = [
            worker("a", *[serving("front", 1000)] * 4),
            worker("b", serving("back"), serving("side"), serving("front")),
            worker("c", *[serving("side", 1000)] * 4),
        ]
        assert choose(serving("other"), workers).worker == "b"
        assert choose(serving("front"), workers).worker == "a"


class CountingZones:
    """An empty container of closed zones that counts its lookups."""

    def __init__(self):
        self.lookups = 0

    def __contains__(self, zone):
        self.lookups += 1
        return False


class TestManyWorkers:
    """Steps with many tasks are placed on hundreds of workers."""

    def test_checks_grow_with_tasks_plus_workers_not_their_product(self):
        """Guards against placement that takes all of the leader's time.

        This happens when all workers are checked again for each task of a
        step. Seen on dzwon-ops-grown, 246 workers: all 8 hunted days broke
        rules.
        """
        closed = CountingZones()
        workers = [worker(str(number)) for number in range(300)]
        step = fakes.step(40)
        ranking = rank(
            step,
            workers,
            closed=closed,
            approved=None,
            on_worker={},
            reserved=(),
            interference=interference.Interference(),
            overdue=False,
            now=NOW,
        )
        chosen = []
        for _ in range(40):
            found = ranking.take(ids.WorkerId(""))
            found.reserve(step)
            ranking.put_back(found)
            chosen.append(found)
        assert len(set(chosen)) == 40
        assert closed.lookups <= 300 + 40

    def test_worker_of_the_last_run_is_avoided(self):
        """Guards against a task that fails repeatedly on the same worker."""
        workers = [worker("a"), worker("b", fakes.step(1))]
        last = ids.WorkerId("a")
        assert choose(fakes.step(1), workers, last=last).worker == "b"
        assert choose(fakes.step(1), workers[:1], last=last).worker == "a"
