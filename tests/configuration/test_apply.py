"""Tests of applying files to a store that loses calls and answers."""

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


class SteppingClock(clocks.ManualClock):
    """A clock that a sleep moves at once."""

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
        self.clock = SteppingClock()
        self.store = faulty_store.FaultyStore(clock=self.clock)
        self.applier = apply.Applier(store=self.store, clock=self.clock)
        self.apply(change(FIRST, 1))

    def apply(self, wanted):
        return asyncio.run(self.applier.apply(wanted))

    def head(self):
        return asyncio.run(self.applier.current())[0]

    def keys(self, prefix):
        return [key for key in self.store.entries if key.startswith(prefix)]


@pytest.fixture(name="site")
def _site():
    return Site()


class TestAnswers:
    """A change takes effect once, whatever happens to its writes."""

    @pytest.mark.parametrize(
        "prefix", ["config/head", "config/bundles/", "config/history/"]
    )
    @pytest.mark.parametrize("fault", list(FAULT))
    def test_one_fault(self, site, prefix, fault):
        # Guards against a conflict or a second generation where the request
        # or the answer of one write was lost or came late.
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
        # Guards against a late write that undoes a later generation.
        site = Site()
        site.store.faults["config/head"] = list(faults)
        site.apply(change(SECOND, 2))
        site.apply(change(THIRD, 3))
        assert site.head().generation == 3
        assert site.head().operation.endswith("3")

    def test_unknown_outcome_is_said(self, site):
        # Guards against "nothing was applied" where a write may still come.
        site.store.faults["config/head"] = [FAULT.REQUEST_LOST] * 100
        with pytest.raises(exceptions.StoreOutcomeUnknownError) as caught:
            site.apply(change(SECOND, 2))
        assert f"{2:032x}" in caught.value.hint
        assert "may" in caught.value.note

    def test_refused_is_not_applied(self, site):
        # Guards against an unknown outcome where the store refused.
        site.store.faults["config/head"] = [FAULT.REFUSED] * 100
        with pytest.raises(exceptions.StoreUnavailableError) as caught:
            site.apply(change(SECOND, 2))
        assert caught.value.note == "nothing was applied"
        assert site.head().generation == 1

    def test_repeated_operation(self, site):
        # Guards against two generations from one change that an operator
        # repeats after an unknown outcome, also once it was overtaken.
        first = site.apply(change(SECOND, 2))
        assert site.apply(change(SECOND, 2)).head == first.head
        site.apply(change(THIRD, 3))
        again = site.apply(change(SECOND, 2))
        assert again.head == first.head
        assert again.overtaken.generation == 3
        assert site.head().generation == 3

    def test_operation_for_other_files(self, site):
        # Guards against files that are never applied but reported so.
        with pytest.raises(exceptions.ConfigurationConflictError):
            site.apply(change(SECOND, 1))

    def test_repeated_after_bundle_only(self, site):
        # Guards against a bundle that differs from its head's digest, from
        # an id that is used again after its first head write was refused.
        site.store.faults["config/head"] = [FAULT.REFUSED] * 100
        with pytest.raises(exceptions.StoreUnavailableError):
            site.apply(change(SECOND, 2))
        site.store.faults.clear()
        with pytest.raises(exceptions.ConfigurationConflictError):
            site.apply(change(THIRD, 2))
        assert site.apply(change(SECOND, 2)).head.generation == 2


class TestConflicts:
    """Operators who race get a conflict that shows the other change."""

    def test_base_is_older(self, site):
        # Guards against undoing a change that the operator never saw.
        site.apply(change(SECOND, 2))
        with pytest.raises(exceptions.ConfigurationConflictError) as caught:
            site.apply(change(THIRD, 3, based_on=ids.Generation(1)))
        assert "+[zones.b]" in caught.value.changes
        assert "-[zones.a]" in caught.value.changes
        assert site.head().generation == 2

    def test_two_at_once(self, site):
        # Guards against two operators who are both told of success.
        other = apply.Applier(store=site.store, clock=site.clock)

        async def race():
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
        results = asyncio.run(race())
        kinds = sorted(type(result).__name__ for result in results)
        assert kinds == ["Applied", "ConfigurationConflictError"]
        assert site.head().generation == 2
        # The loser removes its own bundle.
        assert len(site.keys("config/bundles/")) == 2

    def test_same_files(self, site):
        # Guards against generations that change nothing.
        applied = site.apply(change(FIRST, 2))
        assert not applied.changed
        assert site.head().generation == 1
        assert site.apply(change(FIRST, 3, force=True)).head.generation == 2

    def test_restored_store(self, site):
        # Guards against a generation that processes ignore because they
        # have a higher one from before the store was restored.
        applied = site.apply(change(FIRST, 2, at_least=ids.Generation(7)))
        assert applied.head.generation == 8


class TestHistory:
    """Fifty bundles are kept, each with its record."""

    def test_pruned(self, site):
        # Guards against a store that fills up, and against pruning a bundle
        # that is in force or that history lists.
        for number in range(2, 60):
            text = f"[zones.z{number}]\n".encode()
            site.apply(change({"a.toml": text}, number))
        heads = asyncio.run(site.applier.history())
        assert [h.generation for h in heads] == list(range(59, 9, -1))
        assert len(site.keys("config/bundles/")) == 50
        oldest = asyncio.run(site.applier.fetch(heads[-1]))
        files = bundle.unpack_files(oldest)
        assert files == {"a.toml": b"[zones.z10]\n"}

    def test_damaged_bundle(self, site):
        # Guards against pulling files that nobody applied.
        head = site.head()
        entry = site.store.entries[head.bundle_key]
        asyncio.run(
            site.store.put(
                head.bundle_key, entry.value + b"x", expect=entry.version
            )
        )
        with pytest.raises(exceptions.ConfigurationDamagedError):
            asyncio.run(site.applier.fetch(head))
