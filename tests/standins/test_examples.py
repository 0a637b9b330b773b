"""Tests of the example sites."""

import pytest

from standins import examples
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import reading
from turmerichook._internal.models import ids
from turmerichook._internal.models import site


def configuration_of(example: examples.Example) -> site.Configuration:
    """Return what an example's folder means."""
    packed = bundle.pack_files(reading.read(example.configuration))
    return bundle.accept(ids.Generation(0), packed).configuration


class TestExamples:
    """The examples are valid and describe the two users' sites."""

    @pytest.mark.parametrize("name", examples.NAMES)
    def test_zones_agree(self, name):
        # Guards against a configuration for zones that are not there.
        example = examples.load(name)
        found = configuration_of(example)
        assert set(found.zones) == set(example.zones)

    @pytest.mark.parametrize(
        ("name", "service", "replicas", "per_rack"),
        [("dzwonnica", "booking", 30, 8), ("batbayar", "seam-check", 25, 6)],
    )
    def test_sizes(self, name, service, replicas, per_rack):
        # Guards against an example that has drifted from its site's sizes.
        example = examples.load(name)
        found = configuration_of(example).services[service]
        assert (found.replicas, found.slots, found.connections) == (
            replicas,
            8,
            64,
        )
        shape = example.shape
        assert (shape.cores, shape.memory_gib, shape.per_rack) == (
            16,
            60,
            per_rack,
        )
