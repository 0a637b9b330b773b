"""Tests that daemons start without OpenSSL in memory."""

import subprocess
import sys

import pytest

SCRIPT = """
import sys; from turmerichook._internal.cli import {program}; import hashlib
print(sorted(m for m in ("ssl", "_ssl", "_hashlib") if sys.modules.get(m)))
print(hashlib.sha256(b"passing bell").hexdigest())
"""


class TestImports:
    """Each daemon leaves out what it does not need."""

    @pytest.mark.parametrize("program", ["gateway", "scheduler"])
    def test_no_openssl(self, program):
        # Guards against an import order that loads OpenSSL again, and
        # against digests that differ from those of other processes.
        result = subprocess.run(
            [sys.executable, "-c", SCRIPT.format(program=program)],
            env={"PYTHONPATH": "src"},
            capture_output=True,
            text=True,
            check=True,
        )
        modules, digest = result.stdout.split("\n")[:2]
        assert modules == "[]"
        assert digest == (
            "79b315460cec83900f176089363e153655599d1342861da4f8f0038f92389210"
        )
