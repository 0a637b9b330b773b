"""Interfaces to the platform, with HTTP adapters and fakes."""
