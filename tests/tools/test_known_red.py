"""Tests of the list of tests that CI passes over."""

import pytest

from tools import known_red

BLOCK = "test: a\ncommand: c\nseed: 1\nseen: it failed\nissue: 7\n"


class TestRead:
    """Only whole entries count."""

    def test_blocks_are_entries(self):
        # Guards against one entry hiding the next.
        found = known_red.read(BLOCK + "\n" + BLOCK.replace("a", "b", 1))
        assert [entry.test for entry in found] == ["a", "b"]

    def test_incomplete_entry_is_an_error(self):
        # Guards against a test that is passed over without a reason.
        with pytest.raises(known_red.FormatError):
            known_red.read("test: a\n")
