"""Maintenance programs that write generated pages and check the repository."""
