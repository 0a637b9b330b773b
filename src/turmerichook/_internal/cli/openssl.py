"""Leaves OpenSSL out of a daemon's memory.

``asyncio`` loads ``ssl`` and ``hashlib`` loads ``_hashlib`` where they can,
and both work without. The daemons open no TLS connection, and CPython has
SHA-256 of its own, so the library would only take room from the 32 MB that a
daemon may hold.
"""

import sys

MODULES = ("ssl", "_ssl", "_hashlib")


def leave_out() -> None:
    """Make later imports of OpenSSL's modules fail as if not built.

    Has no effect on a module that was imported before.
    """
    for name in MODULES:
        sys.modules.setdefault(name, None)
