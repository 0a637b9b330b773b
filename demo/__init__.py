"""Demonstration of the whole product, run by ``make demo``."""
