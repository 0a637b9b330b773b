"""Numbered log events and their set-up."""
