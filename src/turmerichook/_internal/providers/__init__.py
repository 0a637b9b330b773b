"""Interfaces to the platform, their HTTP adapters and in-memory fakes."""
