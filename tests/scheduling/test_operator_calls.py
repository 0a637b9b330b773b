"""Tests of the document that explains a task to operators."""

from tests.scheduling import zones
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.scheduling import operator_calls


def explain(zone, name: str) -> tuple[str, str, int]:
    """Return the reason, the awaited change and the number of tasks ahead."""
    document = operator_calls.explain_document(zone, name, zones.SECOND)
    assert document["task"] == name
    assert document["phase"] == "waiting"
    return document["reason"], document["starts_when"], document["ahead"]


class TestExplainDocument:
    """Tests of the answer to ``GET /v1/explain?task=``."""

    def test_waits_for_room(self):
        # Guards against an answer that does not name the amount of resources
        # missing on the host, or gives a wrong number of tasks ahead.
        zone = zones.make_zone(1)
        zones.submit(zone, "job/full", zones.cores(3))
        zones.run(zone)
        zones.submit(zone, "job/j", zones.cores(2))
        zones.submit(zone, "job/k", zones.cores(2))
        zones.run(zone, 1)
        expected = (
            outcomes.Reason.NO_FIT.value,
            "one-host-has-the-missing-room",
        )
        assert explain(zone, "job/j/0") == (*expected, 0)
        assert explain(zone, "job/k/0") == (*expected, 1)
        document = operator_calls.explain_document(
            zone, "job/k/0", zones.SECOND
        )
        assert (
            document["missing"] == resources.Resources(millicores=1_000).text()
        )

    def test_waits_for_quota(self):
        # Guards against a task that waits for its team's quota and is reported
        # as waiting for room on a host.
        team = site.Team(team="t", quota=zones.cores(2))
        zone = zones.make_zone(2, t=team)
        zones.submit(zone, "job/j", zones.cores(1), count=3)
        zones.run(zone)
        reason = outcomes.Reason.QUOTA_REACHED.value
        expected = (reason, "other-tasks-of-the-team-end", 0)
        assert explain(zone, "job/j/2") == expected

    def test_waits_for_closed_zone(self):
        # Guards against a task that waits because its zone is closed and is
        # reported as waiting for room on a host.
        zone = zones.make_zone(1)
        zone.open = False
        zones.submit(zone, "job/j")
        reason = outcomes.Reason.NO_ZONE_OPEN.value
        expected = (reason, "the-zone-opens-or-its-owner-may-start", 0)
        assert explain(zone, "job/j/0") == expected
