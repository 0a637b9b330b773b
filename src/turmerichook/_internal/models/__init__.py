"""Data types that perform no I/O."""
