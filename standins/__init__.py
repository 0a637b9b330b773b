"""Simulated platform services and service endpoints for tests and the demo.

The stand-ins are test doubles that run as separate programs. They are not
part of the product.
"""
