"""Tests of what a process knows of the others."""

import datetime

from turmerichook._internal.membership import messages
from turmerichook._internal.membership import view as views


def seconds(number):
    """Return a reading of the clock."""
    return datetime.timedelta(seconds=number)


def hello(node, *, zone="a", role="gateway", incarnation=1, address=""):
    """Return a greeting."""
    return messages.Hello(
        node=node,
        role=role,
        zone=zone,
        incarnation=incarnation,
        address=address or node,
    )


def beat(node, generation=1, **fields):
    """Return a heartbeat."""
    return messages.Heartbeat(
        node=node, generation=generation, owned={}, **fields
    )


def view_of(node="m"):
    """Return a view whose own process started at 0 s."""
    return views.View(own=hello(node), now=seconds(0))


class TestIncarnations:
    """A name or address belongs to the process that started last."""

    def test_replaced_under_the_same_name(self):
        # Guards against the generation of a dead process being shown for
        # its successor.
        view = view_of()
        view.heard(hello("b"), beat("b", 9), seconds(1))
        arrival = view.greeted(hello("b", incarnation=2), seconds(2))
        assert arrival is views.Arrival.REPLACED
        assert view.live(seconds(2))[0].generation == 0
        assert view.floors["b"] == 9

    def test_paused_process_that_was_replaced(self):
        # Guards against a resumed former process displacing its successor.
        view = view_of()
        view.greeted(hello("b", incarnation=2), seconds(1))
        arrival = view.heard(hello("b"), beat("b", 9), seconds(2))
        assert arrival is views.Arrival.STALE
        assert view.live(seconds(2))[0].hello.incarnation == 2

    def test_other_name_at_the_same_address(self):
        # Guards against counting a replaced host twice.
        view = view_of()
        view.greeted(hello("b", address="10.0.0.1:1"), seconds(1))
        new = hello("c", address="10.0.0.1:1", incarnation=2)
        assert view.greeted(new, seconds(2)) is views.Arrival.REPLACED
        assert [p.hello.node for p in view.live(seconds(2))] == ["c"]


class TestWatcher:
    """One process in each zone watches the store, and always at least one."""

    def test_lowest_name_that_reads(self):
        # Guards against a zone whose watcher is cut off from the store.
        view = view_of("m")
        assert view.watches(seconds(0))
        view.heard(hello("b"), beat("b", reads=True), seconds(1))
        assert not view.watches(seconds(2))
        view.heard(hello("b"), beat("b", reads=False), seconds(3))
        assert view.watches(seconds(3))

    def test_silent_watcher(self):
        # Guards against waiting for a watcher that is paused or dead.
        view = view_of("m")
        view.heard(hello("b"), beat("b", reads=True), seconds(1))
        assert not view.watches(seconds(6))
        assert view.watches(seconds(7))

    def test_other_zone(self):
        # Guards against a zone that relies on another zone's watcher.
        view = view_of("m")
        other = hello("b", zone="z")
        view.heard(other, beat("b", reads=True), seconds(1))
        assert view.watches(seconds(2))


class TestGateways:
    """The number of live gateways is never too low for long."""

    def test_own_zone_and_others(self):
        # Guards against counting schedulers or dead gateways.
        view = view_of()
        view.heard(hello("b"), beat("b"), seconds(9))
        view.heard(hello("s", role="scheduler"), beat("s"), seconds(9))
        far = hello("z", zone="z")
        counts = {"z": [4, 2], "a": [99, 0]}
        view.heard(far, beat("z", gateways=counts), seconds(9))
        assert view.live_gateways(seconds(10), at_start=0) == 6
        assert view.live_gateways(seconds(20), at_start=0) == 5

    def test_zone_that_is_cut_off(self):
        # Guards against taking the share of gateways that go on working
        # behind a cut link.
        view = view_of()
        far = hello("z", zone="z")
        view.heard(far, beat("z", gateways={"z": [4, 0]}), seconds(1))
        assert view.live_gateways(seconds(600), at_start=0) == 5
        assert view.live_gateways(seconds(1000), at_start=0) == 1

    def test_newer_count_wins(self):
        # Guards against a count that circulates for ever between peers.
        view = view_of()
        far = hello("z", zone="z")
        view.heard(far, beat("z", gateways={"z": [4, 1]}), seconds(9))
        view.heard(hello("b"), beat("b", gateways={"z": [9, 5]}), seconds(10))
        assert view.gateways(seconds(10))["z"] == [4, 2]

    def test_before_the_zone_is_known(self):
        # Guards against a new gateway that takes the share of all others.
        view = view_of()
        assert view.live_gateways(seconds(1), at_start=7) == 7
        assert "a" not in view.gateways(seconds(1))


class TestSilence:
    """Processes that are not heard are forgotten."""

    def test_gone_and_back(self):
        # Guards against a paused process that stays dead after its return.
        view = view_of()
        view.heard(hello("b"), beat("b", 3), seconds(1))
        assert [p.hello.node for p in view.forget(seconds(12))] == ["b"]
        view.heard(hello("b"), beat("b", 4), seconds(20))
        assert view.live(seconds(21))[0].generation == 4
