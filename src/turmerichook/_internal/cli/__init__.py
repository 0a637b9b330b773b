"""Parsing of command lines and exit statuses."""

import sys

# The programs use no TLS, but asyncio loads OpenSSL if it finds it, and
# hashlib prefers it to its own code. Without it a daemon has 4.7 MB less
# resident memory, of the 32 MB that it may have. This package is imported
# before asyncio by every program.
for _name in ("ssl", "_hashlib"):
    sys.modules.setdefault(_name, None)
