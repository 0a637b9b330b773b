"""Callers' requests: submission, state, cancellation and queue length."""
