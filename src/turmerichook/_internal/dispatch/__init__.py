"""Assignment of tasks to workers by the current leader."""
