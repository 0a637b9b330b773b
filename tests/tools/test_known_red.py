"""Tests of the parser of KNOWN-RED.txt, the list of tests that CI skips."""

import pytest

from tools import known_red

BLOCK = "test: a\ncommand: c\nseed: 1\nseen: it failed\nissue: 7\n"


class TestRead:
    """Parsing accepts complete entries only."""

    def test_each_block_is_an_entry(self):
        # Guards against two blocks being merged into one entry, which would
        # drop the first test from the list.
        entries = known_red.read(BLOCK + "\n" + BLOCK.replace("a", "b", 1))
        assert [entry.test for entry in entries] == ["a", "b"]

    def test_incomplete_entry_is_rejected(self):
        # Guards against CI skipping a test for which the list states no
        # command, observed failure or issue.
        with pytest.raises(known_red.FormatError):
            known_red.read("test: a\n")
