"""Scheduler and request router for services and batch work."""

__version__ = "0.1.0"
