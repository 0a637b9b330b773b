"""Plain data types without I/O."""
