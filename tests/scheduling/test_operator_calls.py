"""Tests of what a zone's owner tells operators about a task."""

from tests.scheduling import zones
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import operator_calls


def explain(zone, name: str) -> tuple[str, str, int]:
    """Return reason, change and rank as the document gives them."""
    found = operator_calls.explain_document(zone, name, zones.SECOND)
    assert found["task"] == name
    assert found["phase"] == "waiting"
    return found["reason"], found["starts_when"], found["ahead"]


class TestExplainDocument:
    """The answer to ``GET /v1/explain?task=``."""

    def test_waits_for_room(self):
        # Guards against an answer without the amount that is missing.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/full", zones.cores(3))
        zones.run(zone)
        zones.submit(zone, "job/j", zones.cores(2))
        zones.submit(zone, "job/k", zones.cores(2))
        zones.run(zone, 1)
        told = (outcomes.Reason.NO_FIT.value, "one-host-has-the-missing-room")
        assert explain(zone, "job/j/0") == (*told, 0)
        assert explain(zone, "job/k/0") == (*told, 1)
        found = operator_calls.explain_document(zone, "job/k/0", zones.SECOND)
        assert found["missing"] == resources.Resources(millicores=1_000).text()

    def test_waits_for_quota(self):
        # Guards against a reached quota that is reported as missing room.
        team = site.Team(team="t", quota=zones.cores(2))
        zone = zones.make_zone(2, t=team)
        zones.submit(zone, "job/j", zones.cores(1), count=3)
        zones.run(zone)
        reason = outcomes.Reason.QUOTA_REACHED.value
        told = (reason, "other-tasks-of-the-team-end", 0)
        assert explain(zone, "job/j/2") == told

    def test_waits_for_closed_zone(self):
        # Guards against a closed zone that is reported as missing room.
        zone = zones.make_zone(1)
        zone.open = False
        zones.submit(zone, "job/j")
        reason = outcomes.Reason.NO_ZONE_OPEN.value
        told = (reason, "the-zone-opens-or-its-owner-may-start", 0)
        assert explain(zone, "job/j/0") == told
