"""Keeps modules that the daemons do not need out of their memory.

Import this module before ``asyncio``. ``asyncio`` imports ``ssl`` and
``hashlib`` imports ``_hashlib`` where they can; both load OpenSSL. The
product opens no TLS connections, since the platform's load balancer ends TLS,
and ``hashlib`` has SHA-256 of its own. Both modules are made to work without
OpenSSL: a TLS connection would then be an error.
"""

import sys

for _name in ("ssl", "_hashlib"):
    # An import of a name that is bound to None raises ImportError.
    sys.modules.setdefault(_name, None)  # type: ignore[arg-type]
