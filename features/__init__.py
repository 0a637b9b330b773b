"""Scenarios that behave runs against real processes."""
