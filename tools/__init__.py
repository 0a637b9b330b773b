"""Maintenance programs of the repository."""
