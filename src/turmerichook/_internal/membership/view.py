"""State that a process holds about its peers.

This module does no input or output and reads no clock: ``member.Member``
passes in the received messages with their arrival times, and passes the
current time with each query.
"""

import dataclasses
import datetime
import enum

from turmerichook._internal.membership import messages

GATEWAY = "gateway"

# In a zone of 18 processes, heartbeats at this interval and their TCP
# acknowledgements take 2 KB/s of the 3 KB/s that a process may use.
HEARTBEAT_INTERVAL = datetime.timedelta(seconds=4)
# Three heartbeat intervals and 1 s of delay.
LIVENESS_TIMEOUT = datetime.timedelta(seconds=13)
# When the watcher's heartbeat is 2 s late, another process takes over the
# watch. This time-out, the election and the reads of the store together stay
# below the 10 s within which a configuration must be in force.
WATCHER_TIMEOUT = datetime.timedelta(seconds=6)
# The gateways of a zone that is cut off still use their share of the
# connections, so the zone's count is retained for much longer than the
# heartbeat interval.
COUNT_RETENTION = datetime.timedelta(minutes=15)
# Time after the start within which a process may not yet have received a
# message from every process of its zone.
DISCOVERY_PERIOD = datetime.timedelta(seconds=10)
# Largest number of node names for which a generation floor is retained, those
# of stopped processes included.
FLOORS_MAX = 1000


class PeerChange(enum.Enum):
    """How a message changes the entry of the process that sent it."""

    JOINED = "joined"
    REPLACED = "replaced"
    KNOWN = "known"
    # The sender has been replaced by a later process, for example while the
    # sender was paused.
    STALE = "stale"


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """Last reported state of another process.

    :param last_heard: clock reading at which the process's last message
        arrived.
    """

    hello: messages.Hello
    last_heard: datetime.timedelta
    generation: int = 0
    digest: bytes = b""
    rejected: int = 0
    reads: bool = False
    owned: dict = dataclasses.field(default_factory=dict)


class View:
    """Peers from which messages have arrived, by node name.

    :param own: introduction of this process.
    :param now: clock reading at the start of this process.
    """

    def __init__(self, *, own: messages.Hello, now: datetime.timedelta):
        self.own = own
        self.started = now
        self.peers: dict[str, Peer] = {}
        # For each zone: number of live gateways, and the clock reading when
        # they were counted.
        self.gateway_counts: dict[str, tuple[int, datetime.timedelta]] = {}
        # For each node name: highest generation that a process of that name
        # has reported.
        self.generation_floors: dict[str, int] = {}

    def record_hello(
        self, hello: messages.Hello, now: datetime.timedelta
    ) -> PeerChange:
        """Record a ``Hello`` message."""
        known = self.peers.get(hello.node)
        if known is not None:
            if hello.incarnation < known.hello.incarnation:
                return PeerChange.STALE
            if hello.incarnation == known.hello.incarnation:
                known.last_heard = now
                return PeerChange.KNOWN
        former = self._find_by_address(hello)
        if former is not None:
            if former.hello.incarnation > hello.incarnation:
                return PeerChange.STALE
            del self.peers[former.hello.node]
        self.peers[hello.node] = Peer(hello=hello, last_heard=now)
        replaced = known is not None or former is not None
        return PeerChange.REPLACED if replaced else PeerChange.JOINED

    def record_heartbeat(
        self,
        hello: messages.Hello,
        heartbeat: messages.Heartbeat,
        now: datetime.timedelta,
    ) -> PeerChange:
        """Record a heartbeat.

        :param hello: first message on the connection of the heartbeat.
        """
        change = self.record_hello(hello, now)
        if change is PeerChange.STALE:
            return change
        peer = self.peers[hello.node]
        peer.generation = max(peer.generation, heartbeat.generation)
        peer.digest = heartbeat.digest
        peer.rejected = heartbeat.rejected
        peer.reads = heartbeat.reads
        peer.owned = heartbeat.owned
        self._raise_floor(hello.node, heartbeat.generation)
        for zone, (count, age) in heartbeat.gateways.items():
            self._update_count(zone, count, age, now)
        return change

    def remove_expired(self, now: datetime.timedelta) -> list[Peer]:
        """Remove and return the peers with no message for more than 13 s."""
        expired = [
            p
            for p in self.peers.values()
            if now - p.last_heard > LIVENESS_TIMEOUT
        ]
        for peer in expired:
            del self.peers[peer.hello.node]
        return expired

    def live(self, now: datetime.timedelta) -> list[Peer]:
        """Return the peers with a message in the last 13 s, by node name."""
        live_peers = [
            p
            for p in self.peers.values()
            if now - p.last_heard <= LIVENESS_TIMEOUT
        ]
        return sorted(live_peers, key=lambda peer: peer.hello.node)

    def is_watcher(self, now: datetime.timedelta) -> bool:
        """Tell whether this process is its zone's watcher of the store.

        The watcher is the process with the lowest node name among those of
        the zone that can read the store and whose last message is at most 6 s
        old. A process is the watcher unless it knows of such a peer with a
        lower node name, so that each zone always has at least one.
        """
        return not any(
            peer.reads
            and peer.hello.zone == self.own.zone
            and peer.hello.node < self.own.node
            and now - peer.last_heard <= WATCHER_TIMEOUT
            for peer in self.peers.values()
        )

    def has_lowest_name(self, now: datetime.timedelta) -> bool:
        """Tell whether no live peer of the zone has a lower node name."""
        return not any(
            peer.hello.zone == self.own.zone
            and peer.hello.node < self.own.node
            for peer in self.live(now)
        )

    def gateways(self, now: datetime.timedelta) -> dict[str, list[int]]:
        """Return the count of live gateways in each zone, and its age in s."""
        counts = dict(self.gateway_counts)
        if now - self.started >= DISCOVERY_PERIOD:
            counts[self.own.zone] = (self._own_count(now), now)
        return {
            zone: [count, round((now - counted).total_seconds())]
            for zone, (count, counted) in counts.items()
            if now - counted <= COUNT_RETENTION
        }

    def live_gateways(
        self, now: datetime.timedelta, initial_minimum: int
    ) -> int:
        """Return the number of live gateways in all zones, at least 1.

        :param initial_minimum: lower bound of the number during the first 10 s
            after the start, in which the process may not know its whole zone
            yet. Too high a number is safe: it makes each gateway's share
            smaller.
        """
        counts = self.gateways(now)
        own = self._own_count(now)
        others = sum(
            count
            for zone, (count, _) in counts.items()
            if zone != self.own.zone
        )
        if now - self.started < DISCOVERY_PERIOD:
            return max(1, own + others, initial_minimum)
        return max(1, own + others)

    def _own_count(self, now: datetime.timedelta) -> int:
        return (self.own.role == GATEWAY) + sum(
            peer.hello.role == GATEWAY and peer.hello.zone == self.own.zone
            for peer in self.live(now)
        )

    def _update_count(
        self, zone: str, count: int, age: int, now: datetime.timedelta
    ) -> None:
        if zone == self.own.zone:
            return
        counted = now - datetime.timedelta(seconds=age)
        previous = self.gateway_counts.get(zone)
        if previous is None or counted > previous[1]:
            self.gateway_counts[zone] = (count, counted)

    def _find_by_address(self, hello: messages.Hello) -> Peer | None:
        for peer in self.peers.values():
            same_address = peer.hello.address == hello.address
            if (
                hello.address
                and same_address
                and peer.hello.node != hello.node
            ):
                return peer
        return None

    def _raise_floor(self, node: str, generation: int) -> None:
        # Removing and inserting the name moves it to the end of the dict, so
        # that the first name is the one with the oldest last heartbeat.
        floor = self.generation_floors.pop(node, 0)
        self.generation_floors[node] = max(floor, generation)
        while len(self.generation_floors) > FLOORS_MAX:
            del self.generation_floors[next(iter(self.generation_floors))]
