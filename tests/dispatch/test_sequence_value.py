"""Tests of the notes for the next leader in the value of each commit."""

import pytest

from turmerichook._internal.dispatch import sequence_value
from turmerichook._internal.models import ids

COMMIT = sequence_value.commit_id(ids.FencingToken(12), 7)
NOTES = sequence_value.LeaseNotes(earlier_terms_recorded=True, silent="12:5")


class TestNotes:
    """The next leader reads what the last commit says."""

    @pytest.mark.parametrize(
        "notes",
        [
            sequence_value.LeaseNotes(),
            sequence_value.LeaseNotes(earlier_terms_recorded=True),
            NOTES,
        ],
    )
    def test_are_read_as_written(self, notes):
        """Guards against a wait that is too short after a change."""
        value = sequence_value.encode(COMMIT, notes)
        assert sequence_value.decode(value) == notes

    def test_commits_differ(self):
        """Guards against a repeated commit that passes for a later one."""
        values = {
            sequence_value.encode(
                sequence_value.commit_id(ids.FencingToken(12), number), NOTES
            )
            for number in (7, 8)
        }
        assert len(values) == 2

    @pytest.mark.parametrize(
        "detail",
        [b":", b":{", b":[1]", b':{"i-1":"x"}', b':{"i-1":1e400}', b":\xff"],
    )
    def test_malformed_value_promises_nothing(self, detail):
        """Guards against a term that ends, or waits too short, for a value."""
        value = b"12:7" + sequence_value.RECORDED + detail
        assert sequence_value.decode(value) == sequence_value.LeaseNotes()

    def test_value_of_an_older_version(self):
        """Guards against a short wait for a leader that keeps no record."""
        notes = sequence_value.decode(b"12:7")
        assert not notes.earlier_terms_recorded
