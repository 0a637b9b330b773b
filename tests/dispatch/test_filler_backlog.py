"""Tests of the cost of placing many fillers beside serving tasks."""

from tests.dispatch import fakes
from tests.dispatch import test_backlog
from tests.dispatch import test_placement
from turmerichook._internal.dispatch import fleet
from turmerichook._internal.dispatch import interference
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model

WORKERS = 200
JOBS = 40
ROUNDS = 4


class ServingSite(test_backlog.BackloggedSite):
    """Workers with some serving tasks each, and room for fillers."""

    def __init__(self):
        super().__init__(WORKERS)
        for number, worker in enumerate(self.workers.values()):
            for task in list(worker.runs):
                worker.remove(task)
            for index in range(4):
                worker.add(
                    fleet.Run(
                        task=model.TaskKey("serving", 0, number, index),
                        run=ids.Attempt(1),
                        step=test_placement.serving(f"s{number % 5}", 2000),
                        phase=fleet.RunPhase.RUNNING,
                    )
                )

    def add_fillers(self, number):
        """Add the tasks of a job of fillers of an image of its own."""
        demand = resources.Resources(millicores=500, memory_mib=100)
        step = fakes.step(
            5, filler=True, image=ids.ImageId(f"f{number}"), demand=demand
        )
        self.add_waiting_job(number, step)


class TestManyJobsOfFillers:
    """Each round places the fillers of many jobs on hundreds of workers."""

    def test_serving_tasks_are_not_assessed_anew_for_each_job(
        self, monkeypatch
    ):
        """Guards against placement that takes all of the leader's time.

        The load of each serving task was compared with its target for each
        job and worker. On dzwon-ops-large this took 10 ms a job, so that no
        more tasks were placed than came.
        """
        calls = []
        original = interference.Interference.neighbour_pressure

        def counted(self, image, neighbours):
            calls.append(image)
            return original(self, image, neighbours)

        monkeypatch.setattr(
            interference.Interference, "neighbour_pressure", counted
        )
        site = ServingSite()
        for round_number in range(ROUNDS):
            for number in range(JOBS):
                site.add_fillers(round_number * JOBS + number)
            site.place_round(limit=JOBS * 5)
        assert len(site.placed) == ROUNDS * JOBS * 5
        # Once for each task at the start, and again on each worker that has
        # got a filler.
        assert len(calls) <= 4 * (WORKERS + len(site.placed))
