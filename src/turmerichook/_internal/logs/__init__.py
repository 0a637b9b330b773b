"""Numbered log events, rate limits, sinks and the logging set-up."""
