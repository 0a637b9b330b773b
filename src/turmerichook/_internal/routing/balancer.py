"""The endpoint pools of all services.

The pools are updated when the endpoints, the configuration or the number of
gateways change.
"""

import collections.abc
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import service_pools
from turmerichook._internal.routing import sharing

# Time for which the endpoints of a zone that operators have taken out are
# still used by a service that has no endpoint in another zone. It lets
# replicas start in other zones before the service loses all its endpoints.
ZONE_GRACE_S = 4.0

GatewayCount = collections.abc.Callable[[], int]


class Balancer:
    """Decides which endpoints this gateway uses for each service.

    :param gateways: returns the number of gateways that share the endpoints.
    :param now: returns the monotonic time in seconds.
    :param source: random number generator.
    """

    def __init__(
        self,
        *,
        node: ids.NodeId,
        zone: ids.ZoneId,
        gateways: GatewayCount,
        now: service_pools.MonotonicClock,
        source: random.Random,
    ):
        self.node = node
        self.zone = zone
        self.gateways = gateways
        self.now = now
        self.source = source
        self.link_rtts: dict[ids.ZoneId, float] = {zone: 0.0}
        self.services: dict[str, service_pools.ServicePool] = {}
        self.gateway_count = 0
        # Time at which this gateway first saw that a zone had been taken out.
        self.zone_out_since: dict[ids.ZoneId, float] = {}

    def refresh(
        self,
        directory: endpoint_module.EndpointDirectory,
        configuration: site.Configuration,
    ) -> None:
        """Update all pools from the endpoints and the configuration."""
        now = self.now()
        out = {
            name
            for name, zone in configuration.zones.items()
            if zone.state is site.ZoneState.OUT
        }
        self.zone_out_since = {
            name: self.zone_out_since.get(name, now) for name in out
        }
        self.gateway_count = max(1, self.gateways())
        for service in set(self.services) - set(directory.by_service):
            self.services[service].update((), self.gateway_count)
        for service, endpoints in directory.by_service.items():
            self._ensure_service_pool(service).update(
                sharing.subset(
                    endpoints=self._allowed_endpoints(endpoints, now),
                    node=self.node,
                    gateways=self.gateway_count,
                ),
                self.gateway_count,
            )

    def tick(
        self,
        directory: endpoint_module.EndpointDirectory,
        configuration: site.Configuration,
    ) -> None:
        """Do the periodic work; to be called every second.

        Refreshes the pools if zones are out or the number of gateways has
        changed, closes stale connections, and drops pools of services that
        are no longer configured and have neither endpoints nor requests.
        """
        if self.zone_out_since or self.gateway_count != max(
            1, self.gateways()
        ):
            self.refresh(directory, configuration)
        for name, service_pool in list(self.services.items()):
            service_pool.tick()
            in_use = service_pool.targets or len(service_pool.queue)
            if not in_use and name not in configuration.services:
                del self.services[name]

    def service_pool(self, service: str) -> service_pools.ServicePool | None:
        """Return the pool of a service, or None if it has had no endpoint."""
        return self.services.get(service)

    def close(self) -> None:
        """Close all idle connections."""
        for service_pool in self.services.values():
            service_pool.close()

    def _ensure_service_pool(self, service: str) -> service_pools.ServicePool:
        service_pool = self.services.get(service)
        if service_pool is None:
            service_pool = service_pools.ServicePool(
                zone=self.zone,
                now=self.now,
                source=self.source,
                link_rtts=self.link_rtts,
            )
            self.services[service] = service_pool
        return service_pool

    def _allowed_endpoints(
        self, endpoints: list[endpoint_module.Endpoint], now: float
    ) -> list[endpoint_module.Endpoint]:
        in_open_zones = [
            e for e in endpoints if e.zone not in self.zone_out_since
        ]
        if in_open_zones:
            return in_open_zones
        return [
            endpoint
            for endpoint in endpoints
            if now - self.zone_out_since[endpoint.zone] < ZONE_GRACE_S
        ]
