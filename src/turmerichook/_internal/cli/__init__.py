"""Parsing of command lines and exit statuses."""

from turmerichook._internal.cli import openssl

# Every program imports this package before asyncio.
openssl.leave_out()
