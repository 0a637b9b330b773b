"""Metrics of membership, streams and configuration of one process."""

from turmerichook._internal.membership import member as members
from turmerichook._internal.metrics import registry as registries


def collect(registry: registries.Registry, member: members.Member) -> None:
    """Set the gauges to what the process knows now."""
    subscription = member.subscription
    registry.set("configuration_generation", subscription.generation)
    registry.set("configuration_rejected", subscription.rejected)
    registry.set("store_head_read", float(subscription.reads))
    now = member.clock.monotonic()
    registry.set("live_peers", len(member.view.live(now)))
    registry.set("live_gateways", member.live_gateways())
    if member.hub is not None:
        sent, received = member.hub.traffic()
        registry.set("stream_sent_bytes", sent)
        registry.set("stream_received_bytes", received)
