"""Keeps OpenSSL from being loaded into a daemon's memory.

``asyncio`` imports ``ssl`` and ``hashlib`` imports ``_hashlib`` if these
modules are available, and both work without them. The daemons open no TLS
connections, and CPython has its own implementation of SHA-256. Loading the
library would only use up part of the 32 MB of memory that a daemon is limited
to.
"""

import sys

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


def block_imports() -> None:
    """Make later imports of OpenSSL's modules raise ``ImportError``.

    A module that has already been imported stays loaded.
    """
    for name in OPENSSL_MODULES:
        sys.modules.setdefault(name, None)
