"""The fault matrix: every fault at every step, over real processes.

``python -m faults`` runs all cells, ``python -m faults CELL...`` some of
them. ``docs/fault-matrix.md`` has the table.
"""
