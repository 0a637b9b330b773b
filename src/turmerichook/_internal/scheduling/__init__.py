"""Scheduling of the tasks of a zone on its workers."""
