"""Decides whether a request may use a queue, and for which customer."""

import enum

from turmerichook._internal.intake import currency as currencies
from turmerichook._internal.intake import customer_keys
from turmerichook._internal.models import deployment
from turmerichook._internal.quotas import usage
from turmerichook._internal.workflow import model


class Denial(enum.Enum):
    """Why a request may not use a queue."""

    # No customer of the configuration has the request's key, or the request
    # has none.
    UNKNOWN_KEY = "unknown-key"
    # The key may have been removed by a configuration that this process does
    # not know. The request may be served elsewhere, or later.
    CONFIGURATION_OUTDATED = "configuration-outdated"


class Access:
    """Checks the keys of requests."""

    def __init__(self, *, currency: currencies.Currency):
        self.currency = currency
        self.keys = customer_keys.CustomerKeys()

    def available(
        self, configuration: deployment.Configuration | None
    ) -> bool:
        """Return whether requests with valid keys are accepted now."""
        return (
            configuration is None
            or configuration.customers is None
            or self.currency.recent()
        )

    def check(
        self,
        key: bytes,
        queue: deployment.Queue,
        configuration: deployment.Configuration,
    ) -> deployment.Customer | Denial | None:
        """Return the customer of a request; None if it needs none.

        :param key: key of the request; empty if it has none.
        """
        if configuration.customers is None or queue.public:
            return None
        if not self.currency.recent():
            return Denial.CONFIGURATION_OUTDATED
        customer = self.keys.find(key, configuration.customers)
        return Denial.UNKNOWN_KEY if customer is None else customer


def exceeds_quota(spec: model.JobSpec, customer: deployment.Customer) -> bool:
    """Return whether a job has a gang that its customer can never run."""
    return any(
        step.gang
        and usage.gang_exceeds(customer.quota, step.demand, step.count)
        for step in spec.steps
    )
