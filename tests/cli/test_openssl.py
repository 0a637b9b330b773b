"""Tests that a daemon's modules load and work without OpenSSL."""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
from turmerichook._internal.cli import openssl
openssl.block_imports()
import asyncio, hashlib
import turmerichook._internal.{slice}.daemon
loaded = [n for n in openssl.OPENSSL_MODULES if sys.modules.get(n) is not None]
assert not loaded, loaded
print(hashlib.sha256(b"").hexdigest()[:8])
"""


class TestBlockImports:
    """Daemons run while imports of OpenSSL are blocked."""

    @pytest.mark.parametrize("name", ["routing", "scheduling"])
    def test_daemon_runs_without_openssl(self, name):
        # Guards against an import that loads OpenSSL in spite of the block,
        # which costs a daemon several MB, and against daemon code that
        # does not work without OpenSSL.
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM.format(slice=name)],
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
        assert result.stdout.strip() == "e3b0c442"
