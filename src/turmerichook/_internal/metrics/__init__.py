"""Counters, gauges and histograms, and their exposition as text."""
