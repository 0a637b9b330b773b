"""Tests of the state that a process holds about its peers."""

import datetime

from turmerichook._internal.membership import messages
from turmerichook._internal.membership import view as views


def seconds(number):
    """Return a clock reading of this many seconds."""
    return datetime.timedelta(seconds=number)


def hello(node, *, zone="a", role="gateway", incarnation=1, address=""):
    """Return a Hello message."""
    return messages.Hello(
        node=node,
        role=role,
        zone=zone,
        incarnation=incarnation,
        address=address or node,
    )


def heartbeat(node, generation=1, **fields):
    """Return a heartbeat."""
    return messages.Heartbeat(
        node=node, generation=generation, owned={}, **fields
    )


def view_of(node="m"):
    """Return the view of a process that started at 0 s."""
    return views.View(own=hello(node), now=seconds(0))


class TestIncarnations:
    """The process that started last owns its node name and address."""

    def test_replaced_under_the_same_name(self):
        # Guards against reporting the generation of a dead process for the
        # process that took over its node name.
        view = view_of()
        view.record_heartbeat(hello("b"), heartbeat("b", 9), seconds(1))
        change = view.record_hello(hello("b", incarnation=2), seconds(2))
        assert change is views.PeerChange.REPLACED
        assert view.live(seconds(2))[0].generation == 0
        assert view.generation_floors["b"] == 9

    def test_paused_process_that_was_replaced(self):
        # Guards against a paused process that resumes after its replacement
        # and displaces the newer process by its next heartbeat.
        view = view_of()
        view.record_hello(hello("b", incarnation=2), seconds(1))
        change = view.record_heartbeat(
            hello("b"), heartbeat("b", 9), seconds(2)
        )
        assert change is views.PeerChange.STALE
        assert view.live(seconds(2))[0].hello.incarnation == 2

    def test_other_name_at_the_same_address(self):
        # Guards against counting a host twice after its process restarted
        # under another node name at the same address.
        view = view_of()
        view.record_hello(hello("b", address="10.0.0.1:1"), seconds(1))
        new = hello("c", address="10.0.0.1:1", incarnation=2)
        assert view.record_hello(new, seconds(2)) is views.PeerChange.REPLACED
        assert [p.hello.node for p in view.live(seconds(2))] == ["c"]


class TestWatcher:
    """Each zone has at least one watcher of the store, normally just one."""

    def test_lowest_name_that_reads_the_store(self):
        # Guards against a zone without updates because its watcher cannot
        # read the store.
        view = view_of("m")
        assert view.is_watcher(seconds(0))
        view.record_heartbeat(
            hello("b"), heartbeat("b", reads=True), seconds(1)
        )
        assert not view.is_watcher(seconds(2))
        view.record_heartbeat(
            hello("b"), heartbeat("b", reads=False), seconds(3)
        )
        assert view.is_watcher(seconds(3))

    def test_watcher_that_sends_no_heartbeats(self):
        # Guards against relying on a watcher that is paused or dead, so that
        # no process of the zone reads the store.
        view = view_of("m")
        view.record_heartbeat(
            hello("b"), heartbeat("b", reads=True), seconds(1)
        )
        assert not view.is_watcher(seconds(7))
        assert view.is_watcher(seconds(8))

    def test_other_zone(self):
        # Guards against leaving the store to another zone's watcher with a
        # lower node name, from which this zone may be cut off.
        view = view_of("m")
        other = hello("b", zone="z")
        view.record_heartbeat(other, heartbeat("b", reads=True), seconds(1))
        assert view.is_watcher(seconds(2))


class TestGateways:
    """The count of live gateways is not too low for long."""

    def test_own_zone_and_others(self):
        # Guards against counting schedulers or dead gateways.
        view = view_of()
        view.record_heartbeat(hello("b"), heartbeat("b"), seconds(9))
        view.record_heartbeat(
            hello("s", role="scheduler"), heartbeat("s"), seconds(9)
        )
        far = hello("z", zone="z")
        counts = {"z": [4, 2], "a": [99, 0]}
        view.record_heartbeat(far, heartbeat("z", gateways=counts), seconds(9))
        assert view.live_gateways(seconds(10), initial_minimum=0) == 6
        assert view.live_gateways(seconds(23), initial_minimum=0) == 5

    def test_zone_that_is_cut_off(self):
        # Guards against a count that drops the gateways of a zone that is
        # cut off but still serves: the others would take over its share of
        # the connections.
        view = view_of()
        far = hello("z", zone="z")
        view.record_heartbeat(
            far, heartbeat("z", gateways={"z": [4, 0]}), seconds(1)
        )
        assert view.live_gateways(seconds(600), initial_minimum=0) == 5
        assert view.live_gateways(seconds(1000), initial_minimum=0) == 1

    def test_newer_count_wins(self):
        # Guards against an outdated count that peers pass to each other for
        # ever, because each relay would make it look new.
        view = view_of()
        far = hello("z", zone="z")
        view.record_heartbeat(
            far, heartbeat("z", gateways={"z": [4, 1]}), seconds(9)
        )
        view.record_heartbeat(
            hello("b"), heartbeat("b", gateways={"z": [9, 5]}), seconds(10)
        )
        assert view.gateways(seconds(10))["z"] == [4, 2]

    def test_count_before_the_zone_is_discovered(self):
        # Guards against a new gateway that knows no peer yet and takes the
        # share of all gateways for itself.
        view = view_of()
        assert view.live_gateways(seconds(1), initial_minimum=7) == 7
        assert "a" not in view.gateways(seconds(1))


class TestExpiry:
    """Peers that send no message for 13 s are removed."""

    def test_removed_peer_returns(self):
        # Guards against a peer that was paused, was removed, and is not
        # listed again when its heartbeats resume.
        view = view_of()
        view.record_heartbeat(hello("b"), heartbeat("b", 3), seconds(1))
        assert [p.hello.node for p in view.remove_expired(seconds(15))] == [
            "b"
        ]
        view.record_heartbeat(hello("b"), heartbeat("b", 4), seconds(20))
        assert view.live(seconds(21))[0].generation == 4
