"""Tests of the request heads that are sent to endpoints."""

from turmerichook._internal.http import heads
from turmerichook._internal.routing import relay


class TestDeadline:
    """The time until the deadline is forwarded, and never more than that."""

    def test_timeout_is_not_rounded_up(self):
        """Guards against an endpoint that works past the deadline.

        The timeout was rounded to milliseconds. A gateway that took less than
        half a millisecond thus forwarded the full timeout. The failure was
        seen in ``gateway_requests.feature``.
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
