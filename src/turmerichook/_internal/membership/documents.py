"""Membership document that a process serves to operators."""

import dataclasses
import datetime

from turmerichook._internal.membership import member as members
from turmerichook._internal.membership import view as views


def document(member: members.Member) -> dict:
    """Return the state of this process and its live peers as JSON data."""
    now = member.clock.monotonic()
    own = {
        "node": member.hello.node,
        "role": member.hello.role,
        "zone": member.hello.zone,
        "generation": member.subscription.generation,
        "digest": member.digest().hex(),
        "rejected": member.subscription.rejected,
        "owned": member.owned(),
        "age_s": 0.0,
    }
    peers = [_describe(peer, now) for peer in member.view.live(now)]
    return {
        "node": member.hello.node,
        "zone": member.hello.zone,
        "watches": member.view.is_watcher(now),
        "reads_store": member.subscription.reads,
        "gateways": member.view.gateways(now),
        "live_gateways": member.live_gateways(),
        "traffic": _traffic(member),
        "members": [own, *peers],
    }


def _traffic(member: members.Member) -> dict:
    if member.hub is None:
        # The HTTP listener starts before the stream hub exists.
        return {}
    return dataclasses.asdict(member.hub.traffic())


def _describe(peer: views.Peer, now: datetime.timedelta) -> dict:
    return {
        "node": peer.hello.node,
        "role": peer.hello.role,
        "zone": peer.hello.zone,
        "generation": peer.generation,
        "digest": peer.digest.hex(),
        "rejected": peer.rejected,
        "owned": peer.owned,
        "age_s": round((now - peer.last_heard).total_seconds(), 1),
    }
