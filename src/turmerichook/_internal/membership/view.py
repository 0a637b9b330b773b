"""What one process knows of the others.

A pure state: the member task feeds it messages with the time at which they
arrived, and asks it questions at a given time.
"""

import dataclasses
import datetime
import enum

from turmerichook._internal.membership import messages

GATEWAY = "gateway"

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=3)
# Three heartbeats and a second of delay.
LIVE_FOR = datetime.timedelta(seconds=10)
# One heartbeat and a second missed: another process watches the store.
WATCHER_SILENCE = datetime.timedelta(seconds=5)
# A zone that is cut off still uses its share of connections, so its count is
# kept for much longer than a heartbeat.
COUNT_KEPT = datetime.timedelta(minutes=15)
# Until then a new process has not heard all of its zone.
SETTLING = datetime.timedelta(seconds=8)
# Names that are remembered after their processes have gone.
FLOORS_KEPT = 1000


class Arrival(enum.Enum):
    """What a greeting says about the process that sent it."""

    JOINED = "joined"
    REPLACED = "replaced"
    KNOWN = "known"
    # Sent by a process that has been replaced since, for example one that
    # was paused meanwhile.
    STALE = "stale"


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """One other process.

    :param heard: when its last message arrived.
    """

    hello: messages.Hello
    heard: datetime.timedelta
    generation: int = 0
    digest: bytes = b""
    rejected: int = 0
    reads: bool = False
    owned: dict = dataclasses.field(default_factory=dict)


class View:
    """Processes that were heard, by node name."""

    def __init__(self, *, own: messages.Hello, now: datetime.timedelta):
        self.own = own
        self.started = now
        self.peers: dict[str, Peer] = {}
        # For each zone: number of live gateways, and when it was counted.
        self.counts: dict[str, tuple[int, datetime.timedelta]] = {}
        # Highest generation that each node name was known to have.
        self.floors: dict[str, int] = {}

    def greeted(
        self, hello: messages.Hello, now: datetime.timedelta
    ) -> Arrival:
        """Take note of a greeting."""
        known = self.peers.get(hello.node)
        if known is not None:
            if hello.incarnation < known.hello.incarnation:
                return Arrival.STALE
            if hello.incarnation == known.hello.incarnation:
                known.heard = now
                return Arrival.KNOWN
        former = self._at_address(hello)
        if former is not None:
            if former.hello.incarnation > hello.incarnation:
                return Arrival.STALE
            del self.peers[former.hello.node]
        self.peers[hello.node] = Peer(hello=hello, heard=now)
        replaced = known is not None or former is not None
        return Arrival.REPLACED if replaced else Arrival.JOINED

    def heard(
        self,
        hello: messages.Hello,
        heartbeat: messages.Heartbeat,
        now: datetime.timedelta,
    ) -> Arrival:
        """Take note of a heartbeat on a connection greeted by ``hello``."""
        arrival = self.greeted(hello, now)
        if arrival is Arrival.STALE:
            return arrival
        peer = self.peers[hello.node]
        peer.generation = max(peer.generation, heartbeat.generation)
        peer.digest = heartbeat.digest
        peer.rejected = heartbeat.rejected
        peer.reads = heartbeat.reads
        peer.owned = heartbeat.owned
        self._raise_floor(hello.node, heartbeat.generation)
        for zone, (count, age) in heartbeat.gateways.items():
            self._take_count(zone, count, age, now)
        return arrival

    def forget(self, now: datetime.timedelta) -> list[Peer]:
        """Remove and return the peers that are no longer live."""
        gone = [p for p in self.peers.values() if now - p.heard > LIVE_FOR]
        for peer in gone:
            del self.peers[peer.hello.node]
        return gone

    def live(self, now: datetime.timedelta) -> list[Peer]:
        """Return the peers that were heard within 10 s, by node name."""
        found = [p for p in self.peers.values() if now - p.heard <= LIVE_FOR]
        return sorted(found, key=lambda peer: peer.hello.node)

    def watches(self, now: datetime.timedelta) -> bool:
        """Tell whether this process is its zone's watcher of the store.

        That is the process with the lowest node name of those that were
        heard lately and that read the store. A process watches itself
        unless it knows of such a peer with a lower name, so that at least
        one always does.
        """
        return not any(
            peer.reads
            and peer.hello.zone == self.own.zone
            and peer.hello.node < self.own.node
            and now - peer.heard <= WATCHER_SILENCE
            for peer in self.peers.values()
        )

    def is_first(self, now: datetime.timedelta) -> bool:
        """Tell whether no live peer of the zone has a lower name."""
        return not any(
            peer.hello.zone == self.own.zone
            and peer.hello.node < self.own.node
            for peer in self.live(now)
        )

    def gateways(self, now: datetime.timedelta) -> dict[str, list[int]]:
        """Return number and age in seconds of each zone's live gateways."""
        counts = dict(self.counts)
        if now - self.started >= SETTLING:
            counts[self.own.zone] = (self._own_count(now), now)
        return {
            zone: [count, round((now - counted).total_seconds())]
            for zone, (count, counted) in counts.items()
            if now - counted <= COUNT_KEPT
        }

    def live_gateways(self, now: datetime.timedelta, at_start: int) -> int:
        """Return the number of live gateways in all zones, at least 1.

        :param at_start: number to assume until the process has heard its
            zone; too high a number is safe, since it makes shares smaller.
        """
        counts = self.gateways(now)
        own = self._own_count(now)
        others = sum(
            count
            for zone, (count, _) in counts.items()
            if zone != self.own.zone
        )
        if now - self.started < SETTLING:
            return max(1, own + others, at_start)
        return max(1, own + others)

    def _own_count(self, now: datetime.timedelta) -> int:
        return (self.own.role == GATEWAY) + sum(
            peer.hello.role == GATEWAY and peer.hello.zone == self.own.zone
            for peer in self.live(now)
        )

    def _take_count(
        self, zone: str, count: int, age: int, now: datetime.timedelta
    ) -> None:
        if zone == self.own.zone:
            return
        counted = now - datetime.timedelta(seconds=age)
        known = self.counts.get(zone)
        if known is None or counted > known[1]:
            self.counts[zone] = (count, counted)

    def _at_address(self, hello: messages.Hello) -> Peer | None:
        for peer in self.peers.values():
            same = peer.hello.address == hello.address
            if hello.address and same and peer.hello.node != hello.node:
                return peer
        return None

    def _raise_floor(self, node: str, generation: int) -> None:
        # Taken out and put back, so that the first name is the one that was
        # not heard for the longest time.
        known = self.floors.pop(node, 0)
        self.floors[node] = max(known, generation)
        while len(self.floors) > FLOORS_KEPT:
            del self.floors[next(iter(self.floors))]
