"""Customers by the keys that their requests carry."""

import hashlib
import secrets

from turmerichook._internal.models import deployment

DIGEST_BYTES = 16


class CustomerKeys:
    """Finds the customer of a key.

    Keys are compared by digests that depend on a secret of this process. The
    time of a look-up therefore tells nothing about the keys.

    :param secret: key of the digests, drawn at random for each process.
    """

    def __init__(self, *, secret: bytes | None = None):
        self.secret = secret or secrets.token_bytes(DIGEST_BYTES)
        self.customers: tuple[deployment.Customer, ...] | None = None
        self.customer_by_digest: dict[bytes, deployment.Customer] = {}

    def find(
        self, key: bytes, customers: tuple[deployment.Customer, ...]
    ) -> deployment.Customer | None:
        """Return the customer of a key; None if no customer has it.

        :param customers: customers of the configuration in force.
        """
        if self.customers is not customers:
            self.customer_by_digest = {
                self._digest(known.encode()): customer
                for customer in customers
                for known in customer.keys
            }
            self.customers = customers
        return self.customer_by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, key=self.secret, digest_size=DIGEST_BYTES
        ).digest()
