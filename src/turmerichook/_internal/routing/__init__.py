"""Relay of callers' requests to service endpoints."""
