"""Tests of worker reports about attempts that were given up as lost."""

from tests.scheduling import zones
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import state as states

TASK = ids.TaskId("job/j/0")


def zone_after_lost_attempt() -> states.ZoneTasks:
    """Return a zone whose only task waits again after its attempt was lost."""
    zone = zones.make_zone(1)
    zones.submit(zone, "job/j")
    zones.run(zone)
    assert zone.returned(TASK, 1, checkpoint=None, now=zones.SECOND)
    return zone


class TestLateReports:
    """A worker may report on an attempt after it was given up as lost."""

    def test_late_result_of_a_queued_task(self):
        # Guards against a second run of a task whose lost attempt finished
        # after all, while the task waits in the queue.
        zone = zone_after_lost_attempt()
        entries = zone.ended(TASK, 1, succeeded=True, now=zones.SECOND)
        assert entries == [
            journal.Finished(task=TASK, attempt=1, succeeded=True)
        ]
        assert zones.run(zone, 2).starts == []
        assert zone.ended(TASK, 1, succeeded=True, now=zones.SECOND) == []

    def test_late_result_releases_reserved_resources(self):
        # Guards against resources that stay reserved for a task whose lost
        # attempt finished while preemption was freeing them.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", urgency=site.Urgency.URGENT)
        zones.run(zone)
        zone.returned(TASK, 1, checkpoint=None, now=zones.SECOND)
        zones.submit(zone, "job/k", zones.cores(4), team="a")
        zone.groups["job/j"].halted = states.outcomes.Absent(
            reason=states.outcomes.Reason.NO_FIT
        )
        zones.run(zone, 2)
        zone.groups["job/j"].halted = None
        zone.queue.put(zone.groups["job/j"])
        zones.run(zone, 3)
        assert zone.tasks[TASK].phase is states.Phase.RESERVED
        assert zone.ended(TASK, 1, succeeded=True, now=3 * zones.SECOND)
        assert not zone.reserved
        assert not zone.ledger.hosts["h0"].reservations
        assert zone.groups["job/j"].finished == 1

    def test_late_checkpoint_of_a_queued_task(self):
        # Guards against a restart from an older checkpoint than the one in
        # a late report, and against a second queue entry for the task if the
        # report is repeated.
        zone = zone_after_lost_attempt()
        checkpoint = ids.CheckpointId("m")
        for times in (1, 0):
            entries = zone.returned(
                TASK, 1, checkpoint=checkpoint, now=zones.SECOND
            )
            assert len(entries) == times
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[TASK].checkpoint == checkpoint

    def test_checkpoint_from_former_owner(self):
        # Guards against a restart from the beginning after a worker reported
        # a checkpoint and died before the former owner could write it to the
        # journal. The former owner passes the checkpoint to its successor.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j")
        zones.run(zone)
        checkpoint = ids.CheckpointId("m")
        assert zone.record_inherited_checkpoint(TASK, 1, checkpoint) == []
        entries = zone.returned(TASK, 1, checkpoint=None, now=zones.SECOND)
        assert [e.checkpoint for e in entries] == [checkpoint]
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[TASK].checkpoint == checkpoint

    def test_checkpoint_of_earlier_attempt_from_former_owner(self):
        # Guards against a checkpoint of an earlier attempt that replaces the
        # progress of the current one.
        zone = zone_after_lost_attempt()
        zones.run(zone, 2)
        assert (
            zone.record_inherited_checkpoint(TASK, 1, ids.CheckpointId("m"))
            == []
        )
        entries = zone.returned(TASK, 2, checkpoint=None, now=zones.SECOND)
        assert [e.checkpoint for e in entries] == [None]

    def test_checkpoint_from_former_owner_after_the_loss(self):
        # Guards against the loss of a checkpoint that the former owner passes
        # on only after the attempt was given up.
        zone = zone_after_lost_attempt()
        checkpoint = ids.CheckpointId("m")
        assert len(zone.record_inherited_checkpoint(TASK, 1, checkpoint)) == 1
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[TASK].checkpoint == checkpoint

    def test_late_report_after_the_next_start(self):
        # Guards against a late report on an earlier attempt that ends the
        # current attempt.
        zone = zone_after_lost_attempt()
        zones.run(zone, 2)
        assert zone.ended(TASK, 1, succeeded=True, now=zones.SECOND) == []
        late = zone.returned(TASK, 1, checkpoint="m", now=zones.SECOND)
        assert late == []
        assert zone.tasks[TASK].phase is states.Phase.RUNNING


class TestResizedCommitments:
    """A corrected commitment and a reservation share a host."""

    def test_reservation_gets_resources_of_a_smaller_commitment(self):
        # Guards against resources that are granted to no task or to two, when
        # a smaller commitment frees them on a host with a reservation.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", zones.cores(3))
        zones.run(zone)
        ledger = zone.ledger
        ledger.reserve("h0", "u", zones.cores(2))
        assert ledger.hosts["h0"].reservations["u"].granted.millicores == 1000
        zone.resize(zone.tasks[TASK], zones.cores(2))
        assert ledger.hosts["h0"].reservations["u"].complete
        assert ledger.hosts["h0"].free.millicores == 0
        assert zone.teams.usage("t") == zones.cores(2)
