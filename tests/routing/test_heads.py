"""Tests of the heads that go to endpoints."""

from turmerichook._internal.http import heads
from turmerichook._internal.routing import relay


class TestDeadline:
    """The time left is passed on, and never more than that."""

    def test_is_not_rounded_up(self):
        """Guards against an endpoint that works past the deadline.

        Seen in ``gateway_requests.feature``: a gateway that took less than
        half a millisecond passed the whole timeout on.
        """
        head = relay.request_head(
            head=heads.RequestHead(
                method="GET", target="/", headers=[(b"host", b"a")]
            ),
            address="127.0.0.1:1",
            task="t",
            exchange_id=b"1",
            remaining_s=2.9996,
            attempt=1,
        )
        assert float(head.header(b"request-timeout")) <= 2.9996
