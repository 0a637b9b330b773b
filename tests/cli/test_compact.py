"""Tests that the daemons' programs do not load OpenSSL."""

import subprocess
import sys

import pytest

SCRIPT = """
import sys; from turmerichook._internal.cli import {program}; import hashlib
print(sorted(m for m in ("ssl", "_ssl", "_hashlib") if sys.modules.get(m)))
print(hashlib.sha256(b"passing bell").hexdigest())
"""


class TestImports:
    """Importing a daemon's program does not import OpenSSL."""

    @pytest.mark.parametrize("program", ["gateway", "scheduler"])
    def test_program_does_not_load_openssl(self, program):
        # Guards against an import of asyncio or hashlib that comes before
        # OpenSSL is blocked and loads it, and against a SHA-256 of CPython
        # that gives other digests than processes with OpenSSL compute.
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
