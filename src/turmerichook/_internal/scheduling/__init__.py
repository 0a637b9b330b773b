"""Placement of tasks on workers by a zone's owner."""
