"""Command-line parsing and exit statuses of all programs."""

from turmerichook._internal.cli import openssl

# The block only works before asyncio imports ssl. Every program imports
# this package first.
openssl.block_imports()
