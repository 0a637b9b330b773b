"""Measurements that ``make bench`` runs."""
