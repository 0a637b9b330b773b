"""Histograms, counters and their exposition."""
