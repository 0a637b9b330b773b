"""Tests of applying files to a store that loses requests and answers."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest
from tests.configuration import faulty_store

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import apply
from turmerichook._internal.configuration import bundle
from turmerichook._internal.models import ids
from turmerichook import exceptions

FAULT = faulty_store.Fault
FIRST = {"a.toml": b"[zones.a]\n"}
SECOND = {"a.toml": b"[zones.b]\n"}
THIRD = {"a.toml": b"[zones.c]\n"}


class InstantSleepClock(clocks.ManualClock):
    """Manual clock on which a sleep returns at once and advances the time."""

    async def sleep(self, delay):
        self.elapsed += delay


def change(files, number, **options):
    """Return a change whose operation id ends in a number."""
    operation = ids.OperationId(f"{number:032x}")
    return apply.Change(
        files=files, author="anna", operation=operation, **options
    )


class Site:
    """A store with the first configuration applied."""

    def __init__(self):
        self.clock = InstantSleepClock()
        self.store = faulty_store.FaultyStore(clock=self.clock)
        self.applier = apply.Applier(store=self.store, clock=self.clock)
        self.apply(change(FIRST, 1))

    def apply(self, requested):
        return asyncio.run(self.applier.apply(requested))

    def head(self):
        return asyncio.run(self.applier.current())[0]

    def keys(self, prefix):
        return [key for key in self.store.entries if key.startswith(prefix)]


@pytest.fixture(name="site")
def _site():
    return Site()


class TestAnswers:
    """A change takes effect exactly once, however its writes fail."""

    @pytest.mark.parametrize(
        "prefix", ["config/head", "config/bundles/", "config/history/"]
    )
    @pytest.mark.parametrize("fault", list(FAULT))
    def test_single_write_fault_is_retried(self, site, prefix, fault):
        # Guards against a false conflict or a second generation when a retry
        # follows a write whose request or answer was lost or came late.
        site.store.faults[prefix] = [fault]
        applied = site.apply(change(SECOND, 2))
        assert applied.head.generation == 2
        assert site.head().operation == applied.head.operation
        assert len(site.keys("config/bundles/")) == 2

    @hypothesis.settings(
        derandomize=True, max_examples=80, deadline=None, database=None
    )
    @hypothesis.given(
        faults=strategies.lists(strategies.sampled_from(FAULT), max_size=6)
    )
    def test_runs_of_faults(self, faults):
        # Guards against replacing a newer generation by an older one, when an
        # earlier head write reaches the store late.
        site = Site()
        site.store.faults["config/head"] = list(faults)
        site.apply(change(SECOND, 2))
        site.apply(change(THIRD, 3))
        assert site.head().generation == 3
        assert site.head().operation.endswith("3")

    def test_unknown_outcome_is_reported(self, site):
        # Guards against reporting "nothing was applied" although an
        # unconfirmed head write may still reach the store.
        site.store.faults["config/head"] = [FAULT.REQUEST_LOST] * 100
        with pytest.raises(exceptions.StoreOutcomeUnknownError) as caught:
            site.apply(change(SECOND, 2))
        assert f"{2:032x}" in caught.value.hint
        assert "may" in caught.value.note

    def test_refused_write_is_reported_as_not_applied(self, site):
        # Guards against reporting an unknown outcome although the store
        # refused every head write.
        site.store.faults["config/head"] = [FAULT.REFUSED] * 100
        with pytest.raises(exceptions.StoreUnavailableError) as caught:
            site.apply(change(SECOND, 2))
        assert caught.value.note == "nothing was applied"
        assert site.head().generation == 1

    def test_repeated_operation_takes_effect_once(self, site):
        # Guards against a second generation from the same change, when an
        # operator repeats the command after an unknown outcome. The repeat
        # may also come after another change has replaced the first one.
        first = site.apply(change(SECOND, 2))
        assert site.apply(change(SECOND, 2)).head == first.head
        site.apply(change(THIRD, 3))
        again = site.apply(change(SECOND, 2))
        assert again.head == first.head
        assert again.overtaken.generation == 3
        assert site.head().generation == 3

    def test_operation_id_reused_for_other_files(self, site):
        # Guards against reporting files as applied that are not, because
        # their operation id belongs to an earlier change of other files.
        with pytest.raises(exceptions.ConfigurationConflictError):
            site.apply(change(SECOND, 1))

    def test_retry_after_only_the_bundle_was_written(self, site):
        # Guards against a head whose digest does not match its bundle: the
        # bundle was written, its head was refused, and the operation id is
        # used again for other files.
        site.store.faults["config/head"] = [FAULT.REFUSED] * 100
        with pytest.raises(exceptions.StoreUnavailableError):
            site.apply(change(SECOND, 2))
        site.store.faults.clear()
        with pytest.raises(exceptions.ConfigurationConflictError):
            site.apply(change(THIRD, 2))
        assert site.apply(change(SECOND, 2)).head.generation == 2


class TestConflicts:
    """Concurrent changes give a conflict that shows the other change."""

    def test_change_based_on_replaced_generation(self, site):
        # Guards against silently undoing another operator's change, which came
        # into force after this operator read the files.
        site.apply(change(SECOND, 2))
        with pytest.raises(exceptions.ConfigurationConflictError) as caught:
            site.apply(change(THIRD, 3, based_on=ids.Generation(1)))
        assert "+[zones.b]" in caught.value.changes
        assert "-[zones.a]" in caught.value.changes
        assert site.head().generation == 2

    def test_concurrent_applies(self, site):
        # Guards against reporting success to both operators when two applies
        # read the same head and only one head write takes effect.
        other = apply.Applier(store=site.store, clock=site.clock)

        async def apply_both():
            return await asyncio.gather(
                site.applier.apply(change(SECOND, 2)),
                other.apply(change(THIRD, 3)),
                return_exceptions=True,
            )

        put = site.store.put

        async def slow_put(*arguments, **options):
            await asyncio.sleep(0)
            return await put(*arguments, **options)

        site.store.put = slow_put
        results = asyncio.run(apply_both())
        kinds = sorted(type(result).__name__ for result in results)
        assert kinds == ["Applied", "ConfigurationConflictError"]
        assert site.head().generation == 2
        # The apply that got the conflict removes its own bundle.
        assert len(site.keys("config/bundles/")) == 2

    def test_unchanged_files_make_no_generation(self, site):
        # Guards against a new generation when the files equal those in force
        # and the operator did not ask for one by force.
        applied = site.apply(change(FIRST, 2))
        assert not applied.changed
        assert site.head().generation == 1
        assert site.apply(change(FIRST, 3, force=True)).head.generation == 2

    def test_generation_exceeds_those_before_a_restore(self, site):
        # Guards against a generation that processes ignore: after the store
        # was restored from a backup, they still have a higher number than
        # the stored head.
        applied = site.apply(change(FIRST, 2, at_least=ids.Generation(7)))
        assert applied.head.generation == 8


class TestHistory:
    """The last fifty generations are kept, and damage to one is detected."""

    def test_old_generations_are_pruned(self, site):
        # Guards against a store that fills up with old bundles, and against
        # removing a bundle that is in force or that the history lists.
        for number in range(2, 60):
            text = f"[zones.z{number}]\n".encode()
            site.apply(change({"a.toml": text}, number))
        heads = asyncio.run(site.applier.history())
        assert [h.generation for h in heads] == list(range(59, 9, -1))
        assert len(site.keys("config/bundles/")) == 50
        oldest = asyncio.run(site.applier.fetch(heads[-1]))
        files = bundle.unpack_files(oldest)
        assert files == {"a.toml": b"[zones.z10]\n"}

    def test_damaged_bundle_is_not_returned(self, site):
        # Guards against returning files that no operator applied, when a
        # stored bundle was changed after its head was written.
        head = site.head()
        entry = site.store.entries[head.bundle_key]
        asyncio.run(
            site.store.put(
                head.bundle_key, entry.value + b"x", expect=entry.version
            )
        )
        with pytest.raises(exceptions.ConfigurationDamagedError):
            asyncio.run(site.applier.fetch(head))
