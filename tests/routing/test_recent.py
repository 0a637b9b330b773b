"""Tests of what a gateway remembers for operators."""

from turmerichook._internal.routing import endpoints
from turmerichook._internal.routing import recent
from turmerichook._internal.scheduling import messages


def decision(reason: str) -> recent.Decision:
    """Return a refusal for a reason."""
    return recent.Decision(kind="refused", reason=reason, detail="")


class TestRecentDecisions:
    """A bounded memory by request id."""

    def test_keeps_the_newest_requests(self):
        # Guards against a memory that grows with each request.
        memory = recent.RecentDecisions()
        for number in range(recent.MAX_REQUESTS + 10):
            memory.add(f"r{number}", decision("no-endpoint"))
        assert len(memory.requests) == recent.MAX_REQUESTS
        assert memory.explain("r9") is None
        assert memory.explain("r10")["decisions"][0]["kind"] == "refused"

    def test_keeps_the_steps_of_a_request(self):
        # Guards against a retry that hides the first attempt.
        memory = recent.RecentDecisions()
        memory.add("r", decision("a"))
        memory.add("r", decision("b"))
        found = memory.explain("r")["decisions"]
        assert [step["reason"] for step in found] == ["a", "b"]


class TestConfirm:
    """A table without changes is confirmed, not sent again."""

    def test_confirmed_table_is_not_old(self):
        # Guards against a warning about old endpoints in a quiet system.
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

    def test_table_that_was_missed_is_not_confirmed(self):
        # Guards against an outdated table that is taken for current.
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
