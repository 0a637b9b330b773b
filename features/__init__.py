"""Scenarios with real processes, run by behave."""
