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
    """Return the message in which a peer sends a generation."""
    packed = bundle.pack_files({"a.toml": text})
    return messages.GenerationBundle(
        generation=generation, digest=bundle.digest_of(packed), bundle=packed
    )


class Process:
    """A process's subscription and an operator's applier on one store."""

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

    def test_older_generation_is_ignored(self, process):
        # Guards against a message that arrives late and puts an older
        # generation, or other files of the same generation, in force.
        assert process.subscription.offer(offer_of(2))
        assert not process.subscription.offer(offer_of(1))
        assert not process.subscription.offer(offer_of(2, b"[zones.b]\n"))
        assert process.subscription.generation == 2

    def test_store_restored_from_older_backup(self, process):
        # Guards against putting an older generation in force when the store
        # was restored from a backup and its head is older than the process's.
        process.apply(1)
        process.subscription.offer(offer_of(5))
        assert process.read() == 5

    def test_restart_refuses_generation_older_than_before(self):
        # Guards against a restarted process putting an older generation in
        # force, sent by a peer that had not yet received the newer one.
        process = Process(held=True)
        process.subscription.offer(offer_of(4))
        assert process.subscription.generation == 0
        process.subscription.raise_floor(5)
        process.subscription.release()
        assert process.subscription.generation == 0
        assert process.subscription.offer(offer_of(5))

    def test_release_activates_only_the_newest(self):
        # Guards against an older generation being in force for a short time
        # when several were received while generations were held back.
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
    """A damaged or invalid generation is refused as a whole."""

    def test_invalid_generation_is_rejected(self, process):
        # Guards against a part of an invalid generation taking effect, and
        # against requesting it from peers again after its rejection.
        process.subscription.offer(offer_of(1))
        assert not process.subscription.offer(offer_of(2, b"[novel.x]\n"))
        assert process.subscription.rejected == 2
        assert process.subscription.generation == 1
        assert not process.subscription.wants(2)
        assert process.subscription.offer(offer_of(3))

    def test_damaged_copy_does_not_block_an_intact_one(self, process):
        # Guards against a damaged copy from one peer that makes the process
        # refuse an undamaged copy from another.
        intact = offer_of(1)
        damaged = messages.GenerationBundle(
            generation=1, digest=intact.digest, bundle=intact.bundle + b"x"
        )
        assert not process.subscription.offer(damaged)
        assert process.subscription.offer(intact)

    @pytest.mark.parametrize("damage", ["missing", "changed", "head"])
    def test_damage_in_the_store_raises(self, process, damage):
        # Guards against a zone owner that treats a generation as received
        # although its head or bundle was unreadable. It would then go on as
        # before although, for example, the generation closes its zone.
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
    """Following the head takes few store calls for each change."""

    def test_one_change_takes_one_store_call(self, process):
        # Guards against reading the head again after each watch, which
        # already returns it.
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
            calls_before = len(process.store.calls)
            await process.subscription.follow()
            return process.store.calls[calls_before:]

        calls = asyncio.run(scenario())
        assert [kind for kind, _ in calls] == ["get"]
        assert process.subscription.generation == 2

    def test_store_with_a_lower_revision_is_read_again(self, process):
        # Guards against missing changes after the store was restored from a
        # backup: its revision counter is lower, and a watch from the old
        # revision would return nothing until many changes later.
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
