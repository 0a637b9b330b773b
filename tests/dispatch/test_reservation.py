"""Tests of the worker that is kept free for a task that starves."""

import datetime

from tests.dispatch import fakes
from tests.dispatch import test_placement
from turmerichook._internal.dispatch import obstacles
from turmerichook._internal.dispatch import placement
from turmerichook._internal.models import resources

SECOND = datetime.timedelta(seconds=1)


def short(millicores):
    """Return a step that ends by itself."""
    return fakes.step(
        demand=resources.Resources(millicores=millicores, memory_mib=1000)
    )


def reserve(step, *workers):
    """Return the name of the worker that is reserved for a step, or None."""
    found = placement.most_free_worker(
        conditions=obstacles.Conditions(
            step=step,
            service=fakes.SERVICE,
            closed=(),
            approved=None,
            on_worker={},
            now=test_placement.NOW,
        ),
        workers=workers,
        reserved=(),
    )
    return found and found.worker


class TestWorkerFullOfServices:
    """What long-running tasks take of a worker does not become free."""

    def test_another_worker_is_reserved(self):
        """Guards against a reservation that can never be used.

        A service that had failed waited for 12 s while 1,950 millicores were
        kept free for it on a worker that only ran other services. Short tasks
        took all that became free elsewhere.
        """
        services = test_placement.worker(
            "a", test_placement.serving("x", millicores=14_000)
        )
        mixed = test_placement.worker(
            "b",
            test_placement.serving("x", millicores=12_000),
            short(1500),
            short(1500),
        )
        service = test_placement.serving("y", millicores=2600)
        assert reserve(service, services, mixed) == "b"

    def test_no_worker_is_reserved_in_vain(self):
        """Guards against idle capacity that no waiting task can ever get."""
        services = test_placement.worker(
            "a", test_placement.serving("x", millicores=14_000)
        )
        service = test_placement.serving("y", millicores=2600)
        assert reserve(service, services) is None

    def test_a_service_that_has_ended_frees_the_worker(self):
        """Guards against a worker that is ruled out for a former service."""
        worker = test_placement.worker(
            "a",
            test_placement.serving("x", millicores=10_000),
            test_placement.serving("x", millicores=4000),
        )
        service = test_placement.serving("y", millicores=2600)
        worker.remove(max(worker.runs))
        worker.add(test_placement.worker("c", short(4000)).runs.popitem()[1])
        assert reserve(service, worker) == "a"
