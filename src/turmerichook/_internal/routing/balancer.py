"""The pools of all services, kept in step with endpoints and configuration."""

import collections.abc
import random

from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import service_pools
from turmerichook._internal.routing import sharing

# A service whose only endpoints are in zones that operators took out may use
# them so long, while its replicas start elsewhere.
ZONE_GRACE_S = 4.0

Gateways = collections.abc.Callable[[], int]


class Balancer:
    """Decides which endpoints each service may use.

    :param gateways: returns the number of gateways that share the endpoints.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        *,
        node: ids.NodeId,
        zone: ids.ZoneId,
        gateways: Gateways,
        now: service_pools.Now,
        source: random.Random,
    ):
        self.node = node
        self.zone = zone
        self.gateways = gateways
        self.now = now
        self.source = source
        self.links: dict[ids.ZoneId, float] = {zone: 0.0}
        self.services: dict[str, service_pools.ServicePool] = {}
        self.counted = 0
        # Time at which each zone that is out was first seen to be.
        self.out_since: dict[ids.ZoneId, float] = {}

    def refresh(
        self,
        directory: endpoint_module.EndpointDirectory,
        configuration: site.Configuration,
    ) -> None:
        """Bring all pools in step."""
        now = self.now()
        out = {
            name
            for name, zone in configuration.zones.items()
            if zone.state is site.ZoneState.OUT
        }
        self.out_since = {name: self.out_since.get(name, now) for name in out}
        self.counted = max(1, self.gateways())
        for service in set(self.services) - set(directory.by_service):
            self.services[service].update((), self.counted)
        for service, endpoints in directory.by_service.items():
            self._room(service).update(
                sharing.subset(
                    endpoints=self._allowed(endpoints, now),
                    node=self.node,
                    gateways=self.counted,
                ),
                self.counted,
            )

    def tick(
        self,
        directory: endpoint_module.EndpointDirectory,
        configuration: site.Configuration,
    ) -> None:
        """Do what depends on time alone; to be called every second."""
        if self.out_since or self.counted != max(1, self.gateways()):
            self.refresh(directory, configuration)
        for name, service_pool in list(self.services.items()):
            service_pool.tick()
            busy = service_pool.targets or len(service_pool.queue)
            if not busy and name not in configuration.services:
                del self.services[name]

    def service_pool(self, service: str) -> service_pools.ServicePool | None:
        """Return the service's pool if it ever had an endpoint."""
        return self.services.get(service)

    def close(self) -> None:
        """Close all idle connections."""
        for service_pool in self.services.values():
            service_pool.close()

    def _room(self, service: str) -> service_pools.ServicePool:
        service_pool = self.services.get(service)
        if service_pool is None:
            service_pool = service_pools.ServicePool(
                zone=self.zone,
                now=self.now,
                source=self.source,
                links=self.links,
            )
            self.services[service] = service_pool
        return service_pool

    def _allowed(
        self, endpoints: list[endpoint_module.Endpoint], now: float
    ) -> list[endpoint_module.Endpoint]:
        inside = [e for e in endpoints if e.zone not in self.out_since]
        if inside:
            return inside
        return [
            endpoint
            for endpoint in endpoints
            if now - self.out_since[endpoint.zone] < ZONE_GRACE_S
        ]
