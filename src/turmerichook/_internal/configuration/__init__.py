"""Reads, checks, stores and distributes the operators' configuration."""
