"""Adapter to the users' platform.

Translates the platform's names, document formats and HTTP calls into the
scheduler's types. It takes no scheduling decisions.
"""
