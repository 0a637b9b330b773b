"""Metrics of a process's membership, streams and configuration."""

import dataclasses
import typing

from turmerichook._internal.membership import member as members


class Gauges(typing.Protocol):
    """Interface that the gateway's and the scheduler's metrics share."""

    def set(self, name: str, value: float) -> None:
        """Set a gauge without labels."""


def collect(registry: Gauges, member: members.Member) -> None:
    """Set the gauges to the current state of this process."""
    subscription = member.subscription
    registry.set("configuration_generation", subscription.generation)
    registry.set("configuration_rejected", subscription.rejected)
    registry.set("store_head_read", float(subscription.reads))
    now = member.clock.monotonic()
    registry.set("live_peers", len(member.view.live(now)))
    registry.set("live_gateways", member.live_gateways())
    if member.hub is not None:
        for name, value in dataclasses.asdict(member.hub.traffic()).items():
            registry.set(f"stream_{name}", value)
