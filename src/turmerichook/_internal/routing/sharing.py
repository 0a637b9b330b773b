"""Shares of an endpoint's slots and connections without common state.

Each gateway works out its own share from the number of gateways alone.
"""

import collections.abc
import hashlib
import math

from turmerichook._internal.routing import endpoints as endpoint_module


def connection_share(*, connections: int, gateways: int) -> int:
    """Return how many connections one gateway may open to an endpoint."""
    return max(1, connections // max(1, gateways))


def slot_share(*, slots: int, gateways: int) -> float:
    """Return a gateway's share of an endpoint's slots, maybe below one."""
    return slots / max(1, gateways)


def subset(
    *,
    endpoints: collections.abc.Sequence[endpoint_module.Endpoint],
    node: str,
    gateways: int,
) -> tuple[endpoint_module.Endpoint, ...]:
    """Return the endpoints that this gateway uses.

    With more gateways than slots, one request of each gateway would be more
    than an endpoint can work on. Each gateway then uses a part of each zone's
    endpoints, chosen by a hash of its name and the task id, so that each
    endpoint is used by about as many gateways as it has slots.
    """
    by_zone: dict[str, list[endpoint_module.Endpoint]] = {}
    for endpoint in endpoints:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    chosen: list[endpoint_module.Endpoint] = []
    for zone in sorted(by_zone):
        members = by_zone[zone]
        share = sum(
            min(1.0, slot_share(slots=e.slots, gateways=gateways))
            for e in members
        )
        # The tolerance keeps 8 slots for 8 gateways at the whole zone.
        count = math.ceil(share - 1e-9)
        ranked = sorted(members, key=lambda e: _rank(node, e.task))
        chosen += ranked[:count]
    return tuple(chosen)


def _rank(node: str, task: str) -> bytes:
    text = f"{node}\0{task}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
