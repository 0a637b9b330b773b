"""Tests of metrics and their exposition."""

import asyncio

import pytest

from turmerichook._internal import clock as clocks
from turmerichook._internal.metrics import registry as registries
from turmerichook._internal.metrics import timed_store
from turmerichook._internal.providers import store_memory
from turmerichook import exceptions


class TestText:
    """The exposition follows the Prometheus text format 0.0.4."""

    def test_all_metric_types(self):
        # Guards against one malformed line, such as an unescaped label, for
        # which a collector rejects the whole exposition.
        registry = registries.Registry()
        registry.count("calls_total", kind='a"b\\c\nd')
        registry.set("waiting", 3, zone="a")
        for number in range(1, 101):
            registry.observe("call_seconds", number / 1000)
        lines = registry.render().splitlines()
        assert 'turmerichook_calls_total{kind="a\\"b\\\\c\\nd"} 1' in lines
        assert 'turmerichook_waiting{zone="a"} 3' in lines
        assert "# TYPE turmerichook_call_seconds summary" in lines
        assert "turmerichook_call_seconds_count 100" in lines

    def test_quantiles(self):
        # Guards against quantiles that differ from the exact ones by more
        # than the histogram's two significant digits allow.
        registry = registries.Registry()
        for number in range(1, 1001):
            registry.observe("call_seconds", number / 1000)
        (duration,) = registry.durations["call_seconds"].values()
        assert duration.quantile(0.5) == pytest.approx(0.5, rel=0.01)
        assert duration.quantile(0.99) == pytest.approx(0.99, rel=0.01)
        assert duration.quantile(0.999) == pytest.approx(0.999, rel=0.01)

    def test_durations_out_of_range(self):
        # Guards against an exception on a duration out of range, as from a
        # clock step (negative) or a very long call.
        registry = registries.Registry()
        for seconds in (-1.0, 0.0, 1e9):
            registry.observe("call_seconds", seconds)
        (duration,) = registry.durations["call_seconds"].values()
        assert duration.count == 3

    def test_created_with_first_value(self):
        # Guards against histograms without values, each of which would take
        # 20 KB of memory.
        assert registries.Registry().durations == {}


class TestTimedStore:
    """Store calls are counted by operation and failure."""

    def test_calls(self):
        # Guards against store failures that no metric counts.
        registry = registries.Registry()
        store = timed_store.TimedStore(
            store=store_memory.MemoryStore(clock=clocks.ManualClock()),
            registry=registry,
        )

        async def scenario():
            await store.put("k", b"v", expect=0)
            with pytest.raises(exceptions.VersionConflictError):
                await store.put("k", b"v", expect=0)
            return await store.get("k")

        assert asyncio.run(scenario()).value == b"v"
        text = registry.render()
        assert (
            'store_failures_total{call="put",error="version-conflict"} 1'
        ) in text
        assert 'store_call_seconds_count{call="put"} 2' in text
