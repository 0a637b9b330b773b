"""Leases and heartbeats of the entry hosts' processes."""
