"""Division of an endpoint's slots and connections among the gateways.

Each gateway computes its own share from the number of gateways alone, so the
gateways need no shared state.
"""

import collections.abc
import hashlib
import math

from turmerichook._internal.routing import endpoints as endpoint_module


def connection_share(*, connections: int, gateways: int) -> int:
    """Return how many connections one gateway may open to an endpoint."""
    return max(1, connections // max(1, gateways))


def slot_share(*, slots: int, gateways: int) -> float:
    """Return a gateway's share of an endpoint's slots; it can be below 1."""
    return slots / max(1, gateways)


def subset(
    *,
    endpoints: collections.abc.Sequence[endpoint_module.Endpoint],
    node: str,
    gateways: int,
) -> tuple[endpoint_module.Endpoint, ...]:
    """Return the subset of the endpoints that a gateway uses.

    If there are more gateways than an endpoint has slots, one request from
    each gateway would overload the endpoint. Each gateway then uses only some
    of each zone's endpoints, so that about as many gateways use an endpoint as
    it has slots. The endpoints are ranked by a hash of the node's name and the
    task id (rendezvous hashing).

    :param node: name of the gateway's node.
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
        # The tolerance absorbs rounding errors of the sum, which would
        # otherwise add an endpoint. With 8 gateways and 8 slots for each
        # endpoint, the result is still the whole zone.
        count = math.ceil(share - 1e-9)
        ranked = sorted(members, key=lambda e: _rank_hash(node, e.task))
        chosen += ranked[:count]
    return tuple(chosen)


def _rank_hash(node: str, task: str) -> bytes:
    text = f"{node}\0{task}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
