"""Membership and configuration of one process.

One object serves both daemons: it greets peers, sends and takes heartbeats,
keeps the process's record in the store, watches the configuration where this
process is its zone's watcher, and asks peers for generations that it missed.
"""

import asyncio
import datetime
import typing

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import messages as config_messages
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.membership import events
from turmerichook._internal.membership import messages
from turmerichook._internal.membership import records
from turmerichook._internal.membership import view as views
from turmerichook._internal.membership import watching
from turmerichook._internal.providers import store as stores
from turmerichook._internal import settings as settings_module
from turmerichook._internal.streams import hub as hubs
from turmerichook import exceptions

# How long a new process collects what its peers know of it.
COLLECT_LIMIT = datetime.timedelta(seconds=2)
COLLECT_STEP = datetime.timedelta(milliseconds=50)
REQUEST_PATIENCE = datetime.timedelta(seconds=2)
# Counts of gateways are sent with each fifth heartbeat.
COUNTS_EVERY = 5
# Links to processes of other zones.
FAR_LINKS = 2
# Bytes of the digest in heartbeats, enough to tell two bundles apart.
DIGEST_BYTES = 4

TYPES = (
    messages.Hello,
    messages.Heartbeat,
    config_messages.GenerationBundle,
    config_messages.GenerationRequest,
)


def hub_peers(settings: settings_module.Settings) -> dict[str, typing.Any]:
    """Return whom a process dials, as arguments of ``hub.Hub``.

    Without ``zone_peers`` all peers are dialled, which suits a small site.
    """
    if not settings.zone_peers:
        return {"peers": settings.peers}
    return {
        "peers": settings.zone_peers,
        "far_peers": settings.peers,
        "far_links": FAR_LINKS,
    }


def is_scheduler(peer: messages.Hello) -> bool:
    """Tell whether a peer is a scheduler."""
    return peer.role == "scheduler"


class Member:
    """This process among its peers.

    :param role: ``gateway`` or ``scheduler``.
    :param owned: callable that returns the epoch of each owned zone.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        role: str,
        store: stores.Store,
        clock: clocks.Clock,
        subscription: distribution.Subscription,
        owned: typing.Callable[[], dict] = dict,
    ):
        self.settings = settings
        self.clock = clock
        self.subscription = subscription
        self.owned = owned
        milliseconds = round(clock.now().timestamp() * 1000)
        self.hello = messages.Hello(
            node=settings.node,
            role=role,
            zone=settings.zone,
            incarnation=milliseconds,
            address=settings.peer_listen,
        )
        self.view = views.View(own=self.hello, now=clock.monotonic())
        self.keeper = records.Keeper(store=store, clock=clock)
        self.hub: hubs.Hub | None = None
        self.beats = 0
        self.answered: set[str] = set()
        self.asked_until = datetime.timedelta()
        self.changed = asyncio.Event()
        self.watcher = watching.Watcher(
            view=self.view,
            subscription=subscription,
            clock=clock,
            changed=self.changed,
        )
        self.relayed: dict[tuple[str, str], tuple] = {}

    async def run(self, hub: hubs.Hub) -> None:
        """Serve until cancelled, then leave."""
        self.hub = hub
        self.subscription.on_news = self.changed.set
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._collect())
                group.create_task(self._beat())
                group.create_task(self.watcher.run())
                group.create_task(self.keeper.keep(self._record))
        finally:
            try:
                async with asyncio.timeout(1):
                    await self.keeper.release()
            except (exceptions.TurmerichookError, TimeoutError):
                # The lease lapses by itself.
                pass

    def greeting(self) -> list[object]:
        """Return the messages that a new connection starts with."""
        return [self.hello, self._heartbeat(counts=True)]

    def receive(self, received: hubs.Received) -> bool:
        """Take a message; False if it is none of these slices'."""
        match received.message:
            case messages.Hello():
                self._greeted(received)
            case messages.Heartbeat():
                self._heard(received)
            case config_messages.GenerationRequest():
                self._requested(received)
            case config_messages.GenerationBundle():
                self.asked_until = datetime.timedelta()
                self.subscription.offer(received.message)
            case _:
                return False
        return True

    def from_far(self, received: hubs.Received) -> bool:
        """Tell whether a message came from another zone."""
        hello = received.connection.peer
        return hello is not None and hello.zone != self.settings.zone

    def relay(self, received: hubs.Received, version: tuple) -> None:
        """Pass a zone's message on where not all processes dial each other.

        What comes from another zone goes to the whole zone; what is newer
        also goes to a few processes of other zones.

        :param version: orders the messages of one type about one zone.
        """
        message = received.message
        key = (type(message).__name__, message.zone)
        if not self.settings.zone_peers:
            return
        if version <= self.relayed.get(key, ()):
            return
        self.relayed[key] = version
        near = self.from_far(received)
        self.hub.publish(message, near=near, far=True)

    def live_gateways(self) -> int:
        """Return the number of live gateways in all zones, at least 1."""
        peers = len(self.settings.peers) + len(self.settings.zone_peers)
        return self.view.live_gateways(
            self.clock.monotonic(), at_start=(peers + 1) // 2
        )

    def _greeted(self, received: hubs.Received) -> None:
        hello = received.message
        if received.connection.peer is not None:
            return
        received.connection.peer = hello
        self._note(self.view.greeted(hello, self.clock.monotonic()), hello)
        if received.connection.dialled:
            # This is the answer to a greeting of ours.
            return
        # The dialler learns who answers, which generation there is, and
        # which one it had before it was restarted.
        received.reply(self.hello)
        floor = self.view.floors.get(hello.node, 0)
        received.reply(self._heartbeat(counts=True, floor=floor))

    def _heard(self, received: hubs.Received) -> None:
        heartbeat = received.message
        hello = received.connection.peer
        if heartbeat.floor:
            self.subscription.raise_floor(heartbeat.floor)
        self.answered.add(received.source)
        if hello is not None and hello.node == heartbeat.node:
            now = self.clock.monotonic()
            arrival = self.view.heard(hello, heartbeat, now)
            self._note(arrival, hello)
            if arrival is views.Arrival.STALE:
                return
        self._ask(received, max(heartbeat.generation, heartbeat.rejected))

    def _ask(self, received: hubs.Received, generation: int) -> None:
        now = self.clock.monotonic()
        if now < self.asked_until or not self.subscription.wants(generation):
            return
        # One peer at a time, since a bundle may be large. A peer that does
        # not answer is followed by the next one whose heartbeat arrives.
        self.asked_until = now + REQUEST_PATIENCE
        received.reply(
            config_messages.GenerationRequest(generation=generation)
        )

    def _requested(self, received: hubs.Received) -> None:
        newest = self.subscription.newest
        wanted = received.message.generation
        if newest is not None and newest.generation >= wanted:
            received.reply(newest)

    def _note(self, arrival: views.Arrival, hello: messages.Hello) -> None:
        kinds = {
            views.Arrival.JOINED: events.MembershipEvent.JOINED,
            views.Arrival.REPLACED: events.MembershipEvent.REPLACED,
            views.Arrival.STALE: events.MembershipEvent.STALE,
        }
        if arrival in kinds:
            logs.emit(kinds[arrival], peer=hello.node, zone=hello.zone)

    def _heartbeat(
        self, *, counts: bool, floor: int = 0
    ) -> messages.Heartbeat:
        gateways = {}
        if counts:
            gateways = self.view.gateways(self.clock.monotonic())
        return messages.Heartbeat(
            node=self.hello.node,
            generation=self.subscription.generation,
            owned=self.owned(),
            digest=self.digest(),
            rejected=self.subscription.rejected,
            reads=self.subscription.reads,
            floor=floor,
            gateways=gateways,
        )

    def digest(self) -> bytes:
        """Return the first bytes of the digest of what is in force."""
        return bytes.fromhex(self.subscription.digest)[:DIGEST_BYTES]

    def _record(self) -> records.Record:
        return records.Record(
            node=self.hello.node,
            role=self.hello.role,
            zone=self.hello.zone,
            incarnation=self.hello.incarnation,
            listen=self.settings.listen,
            generation=self.subscription.generation,
            digest=self.digest(),
        )

    async def _collect(self) -> None:
        """Hold back generations until the peers have said what they know."""
        end = self.clock.monotonic() + COLLECT_LIMIT
        while self.clock.monotonic() < end and not self._collected():
            await self.clock.sleep(COLLECT_STEP)
        self.subscription.release()

    def _collected(self) -> bool:
        links = [link for link in self.hub.links if link.connected]
        sources = {link.connection.source for link in links}
        return self.hub.settled() and sources <= self.answered

    async def _beat(self) -> None:
        while True:
            counts = self.beats % COUNTS_EVERY == 0
            self.beats += 1
            self.hub.publish(self._heartbeat(counts=counts))
            for peer in self.view.forget(self.clock.monotonic()):
                logs.emit(
                    events.MembershipEvent.GONE,
                    peer=peer.hello.node,
                    zone=peer.hello.zone,
                )
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next heartbeat, or for a change that peers need."""
        interval = views.HEARTBEAT_INTERVAL.total_seconds()
        try:
            async with asyncio.timeout(interval):
                await self.changed.wait()
        except TimeoutError:
            return
        self.changed.clear()
