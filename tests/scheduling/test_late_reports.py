"""Tests of reports about attempts that were given up."""

from tests.scheduling import zones
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import state as states

NAME = ids.TaskId("job/j/0")


def given_up() -> states.ZoneTasks:
    """Return a zone whose only task waits after a lost attempt."""
    zone = zones.make_zone(1)
    zones.submit(zone, "job/j")
    zones.run(zone)
    assert zone.returned(NAME, 1, checkpoint=None, now=zones.SECOND)
    return zone


class TestLateReports:
    """A worker may report after its attempt was given up."""

    def test_result_while_queued(self):
        # Guards against finished work that is run again.
        zone = given_up()
        entries = zone.ended(NAME, 1, succeeded=True, now=zones.SECOND)
        assert entries == [
            journal.Finished(task=NAME, attempt=1, succeeded=True)
        ]
        assert zones.run(zone, 2).starts == []
        assert zone.ended(NAME, 1, succeeded=True, now=zones.SECOND) == []

    def test_result_while_room_is_freed(self):
        # Guards against room that stays reserved for a finished task.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", urgency=site.Urgency.URGENT)
        zones.run(zone)
        zone.returned(NAME, 1, checkpoint=None, now=zones.SECOND)
        zones.submit(zone, "job/k", zones.cores(4), team="a")
        zone.groups["job/j"].halted = states.outcomes.Absent(
            reason=states.outcomes.Reason.NO_FIT
        )
        zones.run(zone, 2)
        zone.groups["job/j"].halted = None
        zone.queue.put(zone.groups["job/j"])
        zones.run(zone, 3)
        assert zone.tasks[NAME].phase is states.Phase.RESERVED
        assert zone.ended(NAME, 1, succeeded=True, now=3 * zones.SECOND)
        assert not zone.reserved
        assert not zone.ledger.hosts["h0"].holds
        assert zone.groups["job/j"].finished == 1

    def test_newer_checkpoint(self):
        # Guards against a restart from before the last checkpoint, and
        # against a task that is queued twice.
        zone = given_up()
        mark = ids.CheckpointId("m")
        for times in (1, 0):
            entries = zone.returned(NAME, 1, checkpoint=mark, now=zones.SECOND)
            assert len(entries) == times
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[NAME].checkpoint == mark

    def test_unwritten_by_a_former_owner(self):
        # Guards against a restart from the beginning when the worker died
        # after its report, before the store could take it.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j")
        zones.run(zone)
        mark = ids.CheckpointId("m")
        assert zone.inherited(NAME, 1, mark) == []
        entries = zone.returned(NAME, 1, checkpoint=None, now=zones.SECOND)
        assert [e.checkpoint for e in entries] == [mark]
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[NAME].checkpoint == mark

    def test_unwritten_of_an_earlier_attempt(self):
        # Guards against progress that is taken back by an old checkpoint.
        zone = given_up()
        zones.run(zone, 2)
        assert zone.inherited(NAME, 1, ids.CheckpointId("m")) == []
        entries = zone.returned(NAME, 2, checkpoint=None, now=zones.SECOND)
        assert [e.checkpoint for e in entries] == [None]

    def test_unwritten_learned_after_the_loss(self):
        # Guards against a release that comes after the worker was given up.
        zone = given_up()
        mark = ids.CheckpointId("m")
        assert len(zone.inherited(NAME, 1, mark)) == 1
        assert [c.attempt for c in zones.run(zone, 2).starts] == [2]
        assert zone.tasks[NAME].checkpoint == mark

    def test_after_the_next_start(self):
        # Guards against an old attempt that ends a new one.
        zone = given_up()
        zones.run(zone, 2)
        assert zone.ended(NAME, 1, succeeded=True, now=zones.SECOND) == []
        late = zone.returned(NAME, 1, checkpoint="m", now=zones.SECOND)
        assert late == []
        assert zone.tasks[NAME].phase is states.Phase.RUNNING


class TestResizedCommitments:
    """A corrected commitment and a hold share a host."""

    def test_hold_takes_what_a_smaller_commitment_frees(self):
        # Guards against room that nobody gets, or that two get.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/j", zones.cores(3))
        zones.run(zone)
        ledger = zone.ledger
        ledger.hold("h0", "u", zones.cores(2))
        assert ledger.hosts["h0"].holds["u"].granted.millicores == 1000
        zone.resize(zone.tasks[NAME], zones.cores(2))
        assert ledger.hosts["h0"].holds["u"].complete
        assert ledger.hosts["h0"].free.millicores == 0
        assert zone.teams.usage("t") == zones.cores(2)
