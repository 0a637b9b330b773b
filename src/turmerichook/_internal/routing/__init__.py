"""Gateway that relays callers' requests to service endpoints."""
