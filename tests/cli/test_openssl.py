"""Tests of what a daemon's process loads."""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
from turmerichook._internal.cli import openssl
openssl.leave_out()
import asyncio, hashlib
import turmerichook._internal.{slice}.daemon
loaded = [n for n in openssl.MODULES if sys.modules.get(n) is not None]
assert not loaded, loaded
print(hashlib.sha256(b"").hexdigest()[:8])
"""


class TestLeaveOut:
    """OpenSSL stays out of the daemons' memory."""

    @pytest.mark.parametrize("name", ["routing", "scheduling"])
    def test_daemon_runs_without_openssl(self, name):
        # Guards against an import that loads OpenSSL again, which costs a
        # daemon several MB, and against a daemon that needs it.
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM.format(slice=name)],
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
        assert result.stdout.strip() == "e3b0c442"
