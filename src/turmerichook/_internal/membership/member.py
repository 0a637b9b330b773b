"""Membership and configuration of one process.

The gateway and the scheduler daemon each have one ``Member``. It introduces
the process to its peers, sends and receives heartbeats, publishes the
process's membership record in the store, watches the configuration in the
store while this process is its zone's watcher, and requests configuration
generations that this process lacks from its peers.
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

# Longest time for which a new process waits for its peers' first heartbeats
# before it applies a configuration.
PEER_REPORTS_TIMEOUT = datetime.timedelta(seconds=2)
PEER_REPORTS_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
# Every fifth heartbeat carries the gateway counts of all zones.
HEARTBEATS_PER_COUNTS = 5
# Number of links that a process opens to processes of other zones.
OTHER_ZONE_LINKS = 2
# Length of the digest prefix in heartbeats. Four bytes are enough to tell two
# configuration bundles apart.
DIGEST_BYTES = 4

TYPES = (
    messages.Hello,
    messages.Heartbeat,
    config_messages.GenerationBundle,
    config_messages.GenerationRequest,
)


def hub_peers(settings: settings_module.Settings) -> dict[str, typing.Any]:
    """Return the peers that a process dials, as arguments of ``hub.Hub``.

    Where the settings name no ``zone_peers``, the process dials every peer,
    which is affordable at a small site.
    """
    if not settings.zone_peers:
        return {"peers": settings.peers}
    return {
        "peers": settings.zone_peers,
        "far_peers": settings.peers,
        "far_links": OTHER_ZONE_LINKS,
    }


def is_scheduler(peer: messages.Hello) -> bool:
    """Tell whether a peer is a scheduler."""
    return peer.role == "scheduler"


class Member:
    """Membership of this process in the group of peers.

    :param role: ``gateway`` or ``scheduler``.
    :param owned: callable that returns the epoch of each zone that this
        process owns.
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
        started_ms = round(clock.now().timestamp() * 1000)
        self.hello = messages.Hello(
            node=settings.node,
            role=role,
            zone=settings.zone,
            incarnation=started_ms,
            address=settings.peer_listen,
        )
        self.view = views.View(own=self.hello, now=clock.monotonic())
        self.record_publisher = records.RecordPublisher(
            store=store, clock=clock
        )
        self.hub: hubs.Hub | None = None
        self.heartbeats_sent = 0
        self.reported_sources: set[str] = set()
        self.request_deadline = datetime.timedelta()
        self.status_changed = asyncio.Event()
        self.watcher = watching.Watcher(
            view=self.view,
            subscription=subscription,
            clock=clock,
            status_changed=self.status_changed,
        )
        self.relayed_versions: dict[tuple[str, str], tuple] = {}

    async def run(self, hub: hubs.Hub) -> None:
        """Run until cancelled, then revoke the lease in the store."""
        self.hub = hub
        self.subscription.on_news = self.status_changed.set
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._wait_for_peer_reports())
                group.create_task(self._send_heartbeats())
                group.create_task(self.watcher.run())
                group.create_task(self.record_publisher.run(self._record))
        finally:
            try:
                async with asyncio.timeout(1):
                    await self.record_publisher.revoke()
            except (exceptions.TurmerichookError, TimeoutError):
                # The store ends the lease when its time to live has passed.
                pass

    def greeting(self) -> list[object]:
        """Return the messages to send first on a new connection."""
        return [self.hello, self._heartbeat(counts=True)]

    def receive(self, received: hubs.Received) -> bool:
        """Handle a message.

        :return: False if the type is neither a membership nor a
            configuration message.
        """
        match received.message:
            case messages.Hello():
                self._handle_hello(received)
            case messages.Heartbeat():
                self._handle_heartbeat(received)
            case config_messages.GenerationRequest():
                self._handle_request(received)
            case config_messages.GenerationBundle():
                self.request_deadline = datetime.timedelta()
                self.subscription.offer(received.message)
            case _:
                return False
        return True

    def is_from_other_zone(self, received: hubs.Received) -> bool:
        """Tell whether the sender of a message is in another zone."""
        hello = received.connection.peer
        return hello is not None and hello.zone != self.settings.zone

    def relay(self, received: hubs.Received, version: tuple) -> None:
        """Forward a message about a zone if it is newer than the last one.

        Does nothing where the settings name no ``zone_peers``, as each
        process then dials every other one. A message from another zone is
        forwarded to all peers in this zone and to the few linked peers in
        other zones; a message from this zone only to the latter.

        :param version: orders the messages of one type about one zone; a
            message whose version is not higher than the last forwarded one
            is dropped.
        """
        message = received.message
        key = (type(message).__name__, message.zone)
        if not self.settings.zone_peers:
            return
        if version <= self.relayed_versions.get(key, ()):
            return
        self.relayed_versions[key] = version
        from_other_zone = self.is_from_other_zone(received)
        self.hub.publish(message, near=from_other_zone, far=True)

    def live_gateways(self) -> int:
        """Return the number of live gateways in all zones, at least 1."""
        peers = len(self.settings.peers) + len(self.settings.zone_peers)
        return self.view.live_gateways(
            self.clock.monotonic(), initial_minimum=(peers + 1) // 2
        )

    def _handle_hello(self, received: hubs.Received) -> None:
        hello = received.message
        if received.connection.peer is not None:
            return
        received.connection.peer = hello
        self._log_change(
            self.view.record_hello(hello, self.clock.monotonic()), hello
        )
        if received.connection.dialled:
            # This Hello answers the one that this process sent.
            return
        # Tells the dialling process who accepted the connection, which
        # configuration generation is in force here, and which generation the
        # dialling process had applied before its restart.
        received.reply(self.hello)
        floor = self.view.generation_floors.get(hello.node, 0)
        received.reply(self._heartbeat(counts=True, floor=floor))

    def _handle_heartbeat(self, received: hubs.Received) -> None:
        heartbeat = received.message
        hello = received.connection.peer
        if heartbeat.floor:
            self.subscription.raise_floor(heartbeat.floor)
        self.reported_sources.add(received.source)
        if hello is not None and hello.node == heartbeat.node:
            now = self.clock.monotonic()
            change = self.view.record_heartbeat(hello, heartbeat, now)
            self._log_change(change, hello)
            if change is views.PeerChange.STALE:
                return
        self._request_generation(
            received, max(heartbeat.generation, heartbeat.rejected)
        )

    def _request_generation(
        self, received: hubs.Received, generation: int
    ) -> None:
        now = self.clock.monotonic()
        if now < self.request_deadline or not self.subscription.wants(
            generation
        ):
            return
        # Only one request is pending at a time, since a bundle may be large.
        # If no bundle arrives in time, the next peer whose heartbeat reports
        # the generation is asked.
        self.request_deadline = now + REQUEST_TIMEOUT
        received.reply(
            config_messages.GenerationRequest(generation=generation)
        )

    def _handle_request(self, received: hubs.Received) -> None:
        newest = self.subscription.newest
        wanted = received.message.generation
        if newest is not None and newest.generation >= wanted:
            received.reply(newest)

    def _log_change(
        self, change: views.PeerChange, hello: messages.Hello
    ) -> None:
        logged_changes = {
            views.PeerChange.JOINED: events.MembershipEvent.JOINED,
            views.PeerChange.REPLACED: events.MembershipEvent.REPLACED,
            views.PeerChange.STALE: events.MembershipEvent.STALE,
        }
        if change in logged_changes:
            logs.emit(logged_changes[change], peer=hello.node, zone=hello.zone)

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
        """Return the first bytes of the digest of the bundle in force."""
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

    async def _wait_for_peer_reports(self) -> None:
        """Apply no generation until the peers have reported theirs.

        Waits until each near peer has been dialled once and each of those
        connected has sent a heartbeat, for 2 s at most.
        """
        end = self.clock.monotonic() + PEER_REPORTS_TIMEOUT
        while self.clock.monotonic() < end and not self._peers_have_reported():
            await self.clock.sleep(PEER_REPORTS_POLL_INTERVAL)
        self.subscription.release()

    def _peers_have_reported(self) -> bool:
        links = [link for link in self.hub.links if link.connected]
        sources = {link.connection.source for link in links}
        return (
            self.hub.all_near_peers_attempted()
            and sources <= self.reported_sources
        )

    async def _send_heartbeats(self) -> None:
        while True:
            include_counts = self.heartbeats_sent % HEARTBEATS_PER_COUNTS == 0
            self.heartbeats_sent += 1
            self.hub.publish(self._heartbeat(counts=include_counts))
            for peer in self.view.remove_expired(self.clock.monotonic()):
                logs.emit(
                    events.MembershipEvent.GONE,
                    peer=peer.hello.node,
                    zone=peer.hello.zone,
                )
            await self._wait_for_next_heartbeat()

    async def _wait_for_next_heartbeat(self) -> None:
        """Wait until the next heartbeat is due or the status changes."""
        interval = views.HEARTBEAT_INTERVAL.total_seconds()
        try:
            async with asyncio.timeout(interval):
                await self.status_changed.wait()
        except TimeoutError:
            return
        self.status_changed.clear()
