"""Heartbeats and store leases of the processes on the entry hosts."""
