"""Parsing of command lines and exit statuses."""
