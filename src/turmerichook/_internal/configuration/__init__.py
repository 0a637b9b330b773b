"""Operators' folder, its schema, and its distribution."""
