"""Placement of tasks on workers by the current leader."""
