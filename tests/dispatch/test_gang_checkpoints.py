"""Tests of the checkpoint from which a gang is started again."""

from tests.dispatch import fakes
from tests.dispatch import test_dispatcher
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model

JOB = ids.JobId("00000000000000aa")


class TestMembersWithOtherRecords:
    """The members of a gang have reported different checkpoints."""

    def _checkpoints(self, *reported):
        """Return the checkpoints of the starts after these were reported."""
        site = test_dispatcher.DispatcherHarness("a", "b")
        count = len(reported)
        site.submit(fakes.job(JOB, fakes.step(count, gang=True)))
        site.step()
        records = site.dispatcher.jobs[JOB].progress.tasks
        for index, checkpoint in enumerate(reported):
            task = model.TaskKey(JOB, 0, 0, index)
            records[task].checkpoint = ids.CheckpointId(checkpoint)
        for worker in site.workers.values():
            for task in list(worker.running):
                worker.end(task, model.EndKind.GANG_MEMBER_ENDED)
        for name in site.workers:
            site.renew_leases(name)
        starts = site.place()
        assert len(starts) == count
        return {start.checkpoint for start in starts}

    def test_all_get_the_same(self):
        """Guards against a gang whose members resume at different points.

        Each got the checkpoint of its own record. The runs ended, and the job
        never did.
        """
        assert self._checkpoints("c2", "", "c1", "c2") == {"c2"}
        assert self._checkpoints("", "", "c1", "") == {"c1"}

    def test_none_without_any(self):
        """Guards against a checkpoint that no member has made."""
        assert self._checkpoints("", "", "") == {""}
