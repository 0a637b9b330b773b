"""Tests of recent routing decisions and of endpoint table ages."""

from turmerichook._internal.routing import endpoints
from turmerichook._internal.routing import recent
from turmerichook._internal.scheduling import messages


def decision(reason: str) -> recent.Decision:
    """Return the decision to refuse a request for a reason."""
    return recent.Decision(kind="refused", reason=reason, detail="")


class TestRecentDecisions:
    """The record of recent decisions by request id is bounded."""

    def test_evicts_the_oldest_requests(self):
        # Guards against memory use that grows with each request. The record
        # keeps only the decisions about the last requests.
        memory = recent.RecentDecisions()
        for number in range(recent.MAX_REQUESTS + 10):
            memory.add(f"r{number}", decision("no-endpoint"))
        assert len(memory.requests) == recent.MAX_REQUESTS
        assert memory.explain("r9") is None
        assert memory.explain("r10")["decisions"][0]["kind"] == "refused"

    def test_keeps_all_decisions_about_a_request(self):
        # Guards against a retry whose decision replaces that of the first
        # attempt.
        memory = recent.RecentDecisions()
        memory.add("r", decision("a"))
        memory.add("r", decision("b"))
        decisions = memory.explain("r")["decisions"]
        assert [step["reason"] for step in decisions] == ["a", "b"]


class TestConfirm:
    """Owners confirm an unchanged endpoint table instead of resending it."""

    def test_confirmed_table_is_not_stale(self):
        # Guards against a warning about stale endpoints while no endpoint
        # changes: the owner then sends confirmations only.
        directory = endpoints.EndpointDirectory()
        table = messages.EndpointTable(
            zone="a", epoch=1, sequence=7, endpoints=[]
        )
        directory.update(table, 0.0)
        confirmed = messages.EndpointsConfirmed(
            zone="a", epoch=1, sequence=90, table=7
        )
        directory.confirm(confirmed, 60.0)
        assert directory.ages(60.0) == {"a": 0.0}

    def test_older_table_is_not_confirmed(self):
        # Guards against an outdated table that counts as current. It does if
        # a gateway has missed a table and gets the confirmation of that one.
        directory = endpoints.EndpointDirectory()
        table = messages.EndpointTable(
            zone="a", epoch=1, sequence=7, endpoints=[]
        )
        directory.update(table, 0.0)
        confirmed = messages.EndpointsConfirmed(
            zone="a", epoch=1, sequence=90, table=8
        )
        directory.confirm(confirmed, 60.0)
        assert directory.ages(60.0) == {"a": 60.0}
