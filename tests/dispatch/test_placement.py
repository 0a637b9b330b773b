"""Tests of the choice of a worker, each named after a pattern of load."""

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
    """Return a reachable worker with some running tasks."""
    made = fleet.Worker(
        worker=ids.WorkerId(name), entry=fakes.entry(name, **fields)
    )
    made.looked = True
    for number, step in enumerate(steps):
        made.add(
            fleet.Run(
                task=model.TaskKey(ids.JobId(name), 0, 0, number),
                run=ids.Attempt(1),
                step=step,
                phase=fleet.RunPhase.RUNNING,
            )
        )
    return made


def serving(image, millicores=3000):
    """Return a step with a latency target."""
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
    """Choose among workers with defaults for what is not given."""
    given = {
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
    last = given.pop("last")
    ranking = rank(step, workers, **given)
    return ranking.take(last)


def model_of(**coefficients):
    """Return a model in which ``front`` feels some fillers."""
    made = interference.Interference()
    for image, value in coefficients.items():
        key = (ids.ImageId("front"), ids.ImageId(image))
        made.pairs[key] = interference.Estimate(value, 0.001, NOW)
    return made


class TestForbiddenWorkers:
    """A task never goes where it must not run."""

    def test_closed_zone(self):
        """Guards against starts in a zone that was taken out."""
        workers = [worker("a"), worker("b", zone=ids.ZoneId("tarnow"))]
        chosen = choose(fakes.step(), workers, closed={fakes.ZONE})
        assert chosen.worker == "b"

    def test_leaving_worker(self):
        """Guards against starts on a worker that drains."""
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
        """Guards against commitments beyond the capacity."""
        full = worker("a", *[serving("front", 4000)] * 4)
        assert isinstance(choose(fakes.step(), [full]), outcomes.Absent)

    def test_memory_of_fillers_counts(self):
        """Guards against fillers that exceed the memory."""
        big = fakes.step(
            filler=True,
            demand=resources.Resources(millicores=100, memory_mib=33_000),
        )
        loaded = worker("a", big)
        absent = choose(big, [loaded], overdue=True)
        assert absent.detail == "no-memory:1"

    def test_worker_that_fails_everything(self):
        """Pattern: a worker fails all that it starts; jobs go elsewhere."""
        grey, sound = worker("a"), worker("b", serving("front", 9000))
        for name in "xyz":
            run = fleet.Run(
                task=model.TaskKey(ids.JobId(name), 0, 0, 0),
                run=ids.Attempt(1),
                step=fakes.step(),
                phase=fleet.RunPhase.RUNNING,
            )
            grey.note_end(model.EndKind.FAILED, run, NOW)
        assert choose(fakes.step(), [grey, sound]).worker == "b"
        later = NOW + fleet.SUSPENSION
        assert choose(fakes.step(), [grey], now=later).worker == "a"


class TestBatchWave:
    """Pattern: a wave of fillers meets services on all workers."""

    def test_filler_goes_where_it_does_no_harm(self):
        """Guards against a filler beside an image that it slows down."""
        workers = [worker("a", serving("front")), worker("b", serving("back"))]
        model_ = model_of(heavy=0.2)
        chosen = choose(filler("heavy"), workers, interference=model_)
        assert chosen.worker == "b"

    def test_filler_waits_rather_than_break_a_target(self):
        """Guards against a tail pushed over its target."""
        step = filler("heavy", 4000)
        workers = [worker("a", serving("front"))]
        absent = choose(step, workers, interference=model_of(heavy=0.2))
        assert absent.detail == "slows-services:1"

    def test_job_that_stands_still_gets_a_task(self):
        """Guards against a late job that never runs again.

        Seen on batbayar-seam scale-2 --seed 781004154454.
        """
        step = filler("heavy", 4000)
        workers = [worker("a", serving("front"))]
        chosen = choose(
            step, workers, interference=model_of(heavy=0.2), overdue=True
        )
        assert chosen.worker == "a"

    def test_slow_service_gets_no_more_fillers(self):
        """Guards against new fillers while others are being slowed down.

        Seen once on batbayar-seam scale-2 --seed 207238032234.
        """
        hot = worker("a", serving("front"))
        hot.hot_since = NOW
        absent = choose(filler("light"), [hot], overdue=True)
        assert absent.detail == "slows-services:1"

    def test_fillers_share_only_what_is_idle(self):
        """Guards against fillers that crawl on a crowded worker."""
        crowded = worker("a", *[filler("light")] * 9)
        absent = choose(filler("light"), [crowded])
        assert absent.detail == "no-idle-processors:1"

    def test_stopped_fillers_leave_their_processors(self):
        """Guards against idle processors that stopped fillers keep.

        Seen on dzwon-ops quiet-1 --seed 33: half of the fillers on workers
        were at a pace of 0.
        """
        crowded = worker("a", *[filler("light")] * 9)
        for run in crowded.runs.values():
            run.pace = 0
        assert choose(filler("light"), [crowded]) is crowded

    def test_harmless_filler_leaves_room_for_others(self):
        """Guards against light fillers that crowd out heavy ones."""
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
    """Pattern: services of several images arrive in one wave."""

    def test_tasks_of_one_image_are_packed(self):
        """Guards against workers on which each filler harms some service."""
        workers = [
            worker("a", serving("front")),
            worker("b", serving("back")),
            worker("c"),
        ]
        assert choose(serving("back"), workers).worker == "b"
        assert choose(serving("front"), workers).worker == "a"
        assert choose(serving("other"), workers).worker == "c"

    def test_images_that_must_mix_do_so_on_one_worker(self):
        """Guards against many mixed workers, where each filler harms one.

        Seen on batbayar-seam quiet-1 --seed 11: 19 of 24 were mixed, and
        fillers got a fifth of what was idle.
        """
        workers = [
            worker("a", *[serving("front", 1000)] * 4),
            worker("b", serving("back"), serving("side"), serving("front")),
            worker("c", *[serving("side", 1000)] * 4),
        ]
        assert choose(serving("other"), workers).worker == "b"
        assert choose(serving("front"), workers).worker == "a"


class Counted:
    """Closed zones, none, that count how often they are asked for."""

    def __init__(self):
        self.asked = 0

    def __contains__(self, zone):
        self.asked += 1
        return False


class TestManyWorkers:
    """Pattern: wide steps and hundreds of workers."""

    def test_looks_at_workers_grow_with_the_step_not_with_their_product(self):
        """Guards against a leader that is busy with choices alone.

        Seen on dzwon-ops-grown, 246 workers: all 8 hunted days broke rules.
        """
        closed = Counted()
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
        assert closed.asked <= 300 + 40

    def test_worker_of_the_last_run_is_avoided(self):
        """Guards against a task that fails again and again in one place."""
        workers = [worker("a"), worker("b", fakes.step(1))]
        last = ids.WorkerId("a")
        assert choose(fakes.step(1), workers, last=last).worker == "b"
        assert choose(fakes.step(1), workers[:1], last=last).worker == "a"
