"""Tests of reading, merging and checking the operators' folder."""

import pytest

from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import schema
from turmerichook import exceptions

VALID = b"""
[zones.a]
[teams.t]
[services.s]
team = "t"
cores = 1
"""


def problems_of(files: dict[str, bytes]) -> list[tuple[str, str, str]]:
    """Return code, file and place of every problem in some files."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        schema.parse(folder.merge(files))
    return [(p.code, p.file, p.where) for p in caught.value.problems]


class TestMerge:
    """Files are merged in the order of their names."""

    def test_later_file_overrides_one_key(self):
        # Guards against a later file replacing a whole table.
        merged = folder.merge(
            {
                "20.toml": b"[services.s]\ncores = 3\n",
                "10.toml": VALID,
            }
        )
        found = schema.parse(merged).services["s"]
        assert found.resources.millicores == 3000
        assert found.team == "t"

    def test_not_utf8_is_named(self):
        # Guards against a crash on a file in another encoding.
        assert problems_of({"a.toml": b"x = '\xff'"}) == [
            ("not-utf8", "a.toml", "byte 5")
        ]

    def test_duplicate_table_is_an_error(self):
        # Guards against one of two definitions of an id being ignored.
        found = problems_of({"a.toml": b"[zones.a]\n[zones.a]\n"})
        assert found[0][:2] == ("not-toml", "a.toml")


class TestSchema:
    """Every mistake is named with its file and key."""

    def test_all_mistakes_at_once(self):
        # Guards against a check that stops at the first mistake.
        text = VALID + b"replicas = -1\nslots = 'x'\nshape = 1\n"
        assert problems_of({"a.toml": text}) == [
            ("unknown-key", "a.toml", "services.s.shape"),
            ("out-of-range", "a.toml", "services.s.replicas"),
            ("wrong-type", "a.toml", "services.s.slots"),
        ]

    def test_unknown_team(self):
        # Guards against a service whose quota nobody set.
        text = b"[zones.a]\n[services.s]\nteam = 'nobody'\n"
        assert problems_of({"a.toml": text}) == [
            ("unknown-team", "a.toml", "services.s.team")
        ]


class TestRead:
    """Folders that cannot be used are refused."""

    def test_empty_folder(self, tmp_path):
        # Guards against applying an empty configuration by a wrong path.
        with pytest.raises(exceptions.ConfigurationError) as caught:
            folder.read(tmp_path)
        assert caught.value.problems[0].code == "folder-empty"

    def test_missing_folder(self, tmp_path):
        # Guards against a traceback in place of a typed error.
        with pytest.raises(exceptions.ConfigurationError) as caught:
            folder.read(tmp_path / "absent")
        assert caught.value.problems[0].code == "folder-unreadable"

    def test_latency_target(self):
        # Guards against a target of zero, which no service could keep.
        merged = folder.merge({"a.toml": VALID + b"latency_target_ms = 20\n"})
        found = schema.parse(merged).services["s"]
        assert found.latency_target.total_seconds() == 0.02
        text = VALID + b"latency_target_ms = 0\n[site]\ninterference = -1\n"
        assert problems_of({"a.toml": text}) == [
            ("out-of-range", "a.toml", "site.interference"),
            ("out-of-range", "a.toml", "services.s.latency_target_ms"),
        ]
