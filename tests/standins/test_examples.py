"""Tests of the example sites."""

import pytest

from standins import examples
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import reading
from turmerichook._internal.models import ids
from turmerichook._internal.models import site


def configuration_of(example: examples.Example) -> site.Configuration:
    """Return the configuration parsed from an example's folder."""
    packed = bundle.pack_files(reading.read(example.configuration))
    return bundle.accept(ids.Generation(0), packed).configuration


class TestExamples:
    """The examples are valid and match the two users' sites."""

    @pytest.mark.parametrize("name", examples.NAMES)
    def test_zones_agree(self, name):
        # Guards against a configuration whose zones differ from the zones that
        # the example's platform provides.
        example = examples.load(name)
        configuration = configuration_of(example)
        assert set(configuration.zones) == set(example.zones)

    @pytest.mark.parametrize(
        ("name", "service", "replicas", "per_rack"),
        [("dzwonnica", "booking", 30, 8), ("batbayar", "seam-check", 25, 6)],
    )
    def test_sizes(self, name, service, replicas, per_rack):
        # Guards against an edited example whose replica, slot or worker sizes
        # no longer match the user's site.
        example = examples.load(name)
        configuration = configuration_of(example).services[service]
        assert (
            configuration.replicas,
            configuration.slots,
            configuration.connections,
        ) == (
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
