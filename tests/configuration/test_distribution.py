"""Tests of which generation a process puts in force."""

import asyncio

import pytest

from tests.configuration import faulty_store
from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import messages
from turmerichook._internal.models import ids
from turmerichook._internal.providers import store as stores
from turmerichook import exceptions


def offer_of(generation, text=b"[zones.a]\n"):
    """Return a generation as a peer sends it."""
    packed = bundle.pack_files({"a.toml": text})
    return messages.GenerationBundle(
        generation=generation, digest=bundle.digest_of(packed), bundle=packed
    )


class Process:
    """A subscription next to an operator's applier."""

    def __init__(self, held=False):
        clock = clocks.ManualClock()
        self.store = faulty_store.FaultyStore(clock=clock)
        self.applier = apply.Applier(store=self.store, clock=clock)
        self.subscription = distribution.Subscription(
            store=self.store, clock=clock, held=held
        )

    def apply(self, number):
        return asyncio.run(
            self.applier.apply(
                apply.Change(
                    files={"a.toml": f"[zones.z{number}]\n".encode()},
                    author="anna",
                    operation=ids.OperationId(f"{number:032x}"),
                )
            )
        )

    def read(self):
        asyncio.run(self.subscription.read())
        return self.subscription.generation


@pytest.fixture(name="process")
def _process():
    return Process()


class TestOrder:
    """A process never goes back to an older generation."""

    def test_older_is_ignored(self, process):
        # Guards against a late message undoing a change.
        assert process.subscription.offer(offer_of(2))
        assert not process.subscription.offer(offer_of(1))
        assert not process.subscription.offer(offer_of(2, b"[zones.b]\n"))
        assert process.subscription.generation == 2

    def test_restored_store(self, process):
        # Guards against a store that was restored from an older copy.
        process.apply(1)
        process.subscription.offer(offer_of(5))
        assert process.read() == 5

    def test_restart_waits_for_the_floor(self):
        # Guards against a restarted process that takes an older generation
        # from a peer that had not yet got the newer one.
        process = Process(held=True)
        process.subscription.offer(offer_of(4))
        assert process.subscription.generation == 0
        process.subscription.raise_floor(5)
        process.subscription.release()
        assert process.subscription.generation == 0
        assert process.subscription.offer(offer_of(5))

    def test_held_takes_the_newest(self):
        # Guards against an older generation that is in force for a moment.
        process = Process(held=True)
        seen = []
        process.subscription.listeners.append(
            lambda accepted: seen.append(accepted.generation)
        )
        for generation in (3, 7, 4):
            process.subscription.offer(offer_of(generation))
        process.subscription.release()
        assert seen == [7]


class TestDamage:
    """What is damaged or not understood is refused as a whole."""

    def test_not_understood(self, process):
        # Guards against a part of a generation taking effect, and against
        # asking for it again and again.
        process.subscription.offer(offer_of(1))
        assert not process.subscription.offer(offer_of(2, b"[novel.x]\n"))
        assert process.subscription.rejected == 2
        assert process.subscription.generation == 1
        assert not process.subscription.wants(2)
        assert process.subscription.offer(offer_of(3))

    def test_damaged_copy_from_a_peer(self, process):
        # Guards against one damaged copy keeping out an undamaged one.
        good = offer_of(1)
        bad = messages.GenerationBundle(
            generation=1, digest=good.digest, bundle=good.bundle + b"x"
        )
        assert not process.subscription.offer(bad)
        assert process.subscription.offer(good)

    @pytest.mark.parametrize("damage", ["missing", "changed", "head"])
    def test_damaged_in_the_store(self, process, damage):
        # Guards against an owner that counts a generation as seen although
        # it could not read it, for example one that closes its zone.
        process.apply(1)
        head = process.apply(2).head
        key = bundle.HEAD_KEY if damage == "head" else head.bundle_key
        entry = process.store.entries[key]
        if damage == "missing":
            asyncio.run(process.store.delete(key, expect=entry.version))
        else:
            put = process.store.put(key, b"\x91", expect=entry.version)
            asyncio.run(put)
        with pytest.raises(exceptions.TurmerichookError):
            process.read()
        assert process.subscription.generation == 0


class TestFollow:
    """The watcher sees each change with few calls."""

    def test_calls_for_one_change(self, process):
        # Guards against reading the head again for each watch.
        process.apply(1)

        async def scenario():
            await process.subscription.follow()
            process.store.calls.clear()
            await process.applier.apply(
                apply.Change(
                    files={"a.toml": b"[zones.n]\n"},
                    author="anna",
                    operation=ids.OperationId("f" * 32),
                )
            )
            applied = len(process.store.calls)
            await process.subscription.follow()
            return process.store.calls[applied:]

        calls = asyncio.run(scenario())
        assert [kind for kind, _ in calls] == ["get"]
        assert process.subscription.generation == 2

    def test_store_that_counts_from_a_lower_revision(self, process):
        # Guards against a watch that waits for a revision which a restored
        # store reaches only after many changes.
        process.apply(1)

        async def scenario():
            await process.subscription.follow()
            process.subscription.revision = ids.Revision(1000)

            async def watch(prefix, *, after, wait):
                return stores.Changes(
                    revision=ids.Revision(process.store.revision), changes=()
                )

            process.store.watch = watch
            await process.applier.apply(
                apply.Change(
                    files={"a.toml": b"[zones.n]\n"},
                    author="anna",
                    operation=ids.OperationId("f" * 32),
                )
            )
            await process.subscription.follow()

        asyncio.run(scenario())
        assert process.subscription.generation == 2
