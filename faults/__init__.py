"""The fault matrix: tests every fault at every step, with real processes.

``python -m faults`` runs all cells of the matrix, and
``python -m faults CELL...`` runs some of them. ``docs/fault-matrix.md`` shows
the table.
"""
