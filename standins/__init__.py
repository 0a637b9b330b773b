"""Stand-ins for the platform and for service endpoints, for tests and demos.

They are programs of their own and no part of the product.
"""
