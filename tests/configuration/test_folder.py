"""Tests of reading, merging and checking the operators' folder."""

import os

import pytest

from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import reading
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
    """Return the code, file and key path of every problem in the files."""
    with pytest.raises(exceptions.ConfigurationError) as caught:
        schema.parse(folder.merge(files))
    return [(p.code, p.file, p.where) for p in caught.value.problems]


class TestMerge:
    """Files are merged in the order of their names."""

    def test_later_file_overrides_one_key(self):
        # Guards against a later file replacing a whole table although it sets
        # only one of its keys.
        merged = folder.merge(
            {
                "20.toml": b"[services.s]\ncores = 3\n",
                "10.toml": VALID,
            }
        )
        found = schema.parse(merged).services["s"]
        assert found.resources.millicores == 3000
        assert found.team == "t"

    def test_file_that_is_not_utf8_is_reported(self):
        # Guards against a crash on a file that is not encoded in UTF-8.
        assert problems_of({"a.toml": b"x = '\xff'"}) == [
            ("not-utf8", "a.toml", "byte 5")
        ]

    def test_duplicate_table_is_reported(self):
        # Guards against ignoring one of two definitions of the same zone.
        text = b"[zones.a]\n[zones.a]\n"
        with pytest.raises(exceptions.ConfigurationError) as caught:
            schema.parse(folder.merge({"a.toml": text}))
        (problem,) = caught.value.problems
        assert (problem.code, problem.file, problem.line) == (
            "duplicate-id",
            "a.toml",
            2,
        )

    def test_second_definition_in_another_file(self):
        # Guards against silently replacing a service when an operator copies
        # a file and does not rename the service in it.
        redefinition = b"[services.s]\nteam = 't'\n"
        assert problems_of({"a.toml": VALID, "b.toml": redefinition}) == [
            ("duplicate-id", "b.toml", "services.s.team")
        ]

    def test_table_replaced_by_value(self):
        # Guards against a later file removing a whole section by setting a
        # plain value under the same name.
        found = problems_of({"a.toml": VALID, "b.toml": b"teams = 1\n"})
        assert ("wrong-type", "b.toml", "teams") in found

    @pytest.mark.parametrize(
        "text", [b"x = " + b"[" * 5000, b"x = " + b"9" * 5000]
    )
    def test_values_that_break_tomllib(self, text):
        # Guards against a crash on values for which tomllib raises errors
        # other than its own: deep nesting and integers of thousands of
        # digits.
        assert problems_of({"a.toml": text})[0][:2] == ("not-toml", "a.toml")


class TestSchema:
    """Every problem is reported with its file and key."""

    def test_all_problems_are_reported_at_once(self):
        # Guards against a check that stops at the first problem.
        text = VALID + b"replicas = -1\nslots = 'x'\nshape = 1\n"
        assert problems_of({"a.toml": text}) == [
            ("unknown-key", "a.toml", "services.s.shape"),
            ("out-of-range", "a.toml", "services.s.replicas"),
            ("wrong-type", "a.toml", "services.s.slots"),
        ]

    def test_unknown_team(self):
        # Guards against a service that no quota covers, because its team is
        # not defined.
        text = b"[zones.a]\n[services.s]\nteam = 'nobody'\n"
        assert problems_of({"a.toml": text}) == [
            ("unknown-team", "a.toml", "services.s.team")
        ]

    @pytest.mark.parametrize(
        ("value", "code"),
        [
            ("nan", "not-finite"),
            ("inf", "not-finite"),
            ("-inf", "not-finite"),
            ("-0.5", "out-of-range"),
            ("1e300", "out-of-range"),
            ("true", "wrong-type"),
            ("2026-01-01", "wrong-type"),
        ],
    )
    def test_invalid_numbers(self, value, code):
        # Guards against accepting a number that breaks later comparisons or
        # sums, such as NaN, infinity or a value far out of range.
        text = VALID + f"memory_gib = {value}\n".encode()
        assert problems_of({"a.toml": text}) == [
            (code, "a.toml", "services.s.memory_gib")
        ]

    def test_line_and_hint(self):
        # Guards against a problem report without the line of the mistake or a
        # hint at the key that was probably meant.
        text = VALID + b"replica = 2\n"
        with pytest.raises(exceptions.ConfigurationError) as caught:
            schema.parse(folder.merge({"a.toml": text}))
        (problem,) = caught.value.problems
        assert problem.line == 7
        assert problem.hint == "did you mean 'replicas'?"

    def test_unparsable_file_does_not_hide_other_problems(self):
        # Guards against a file that cannot be parsed hiding problems in
        # other files, and against reporting teams as unknown that the
        # unparsed file may define.
        files = {"a.toml": b"[teams", "b.toml": b"[services.s]\nteam = 3\n"}
        assert [(code, file) for code, file, _ in problems_of(files)] == [
            ("not-toml", "a.toml"),
            ("wrong-type", "b.toml"),
        ]


class TestRead:
    """Folders and files that cannot be read are reported."""

    def test_entries_that_are_not_regular_files(self, tmp_path):
        # Guards against blocking while a named pipe is opened, and against a
        # crash on a directory or dangling link whose name ends in .toml.
        (tmp_path / "a.toml").mkdir()
        (tmp_path / "b.toml").symlink_to(tmp_path / "absent")
        os.mkfifo(tmp_path / "c.toml")
        (tmp_path / "d.toml").write_bytes(b"x" * (reading.MAX_TOTAL_BYTES + 1))
        (tmp_path / "e.toml").symlink_to(tmp_path / "f")
        (tmp_path / "f").write_bytes(VALID)
        found = reading.scan(tmp_path)
        assert found.files == {"e.toml": VALID}
        assert [(p.code, p.file) for p in found.problems] == [
            ("not-a-file", "a.toml"),
            ("link-dangling", "b.toml"),
            ("not-a-file", "c.toml"),
            ("too-large", "d.toml"),
        ]

    def test_file_removed_while_reading(self, tmp_path, monkeypatch):
        # Guards against applying an inconsistent set of files when one is
        # removed while the folder is read. The folder is read a second
        # time, which returns the files that remain.
        for name in ("a.toml", "b.toml"):
            (tmp_path / name).write_bytes(VALID)
        real_snapshot = reading._snapshot
        calls = []

        def removing_snapshot(directory):
            found = real_snapshot(directory)
            if not calls:
                (tmp_path / "b.toml").unlink()
            calls.append(directory)
            return found

        monkeypatch.setattr(reading, "_snapshot", removing_snapshot)
        assert reading.read(tmp_path) == {"a.toml": VALID}

    def test_empty_folder_is_refused(self, tmp_path):
        # Guards against applying an empty configuration when the operator
        # gives the wrong path.
        with pytest.raises(exceptions.ConfigurationError) as caught:
            reading.read(tmp_path)
        assert caught.value.problems[0].code == "folder-empty"

    def test_missing_folder_is_reported(self, tmp_path):
        # Guards against a traceback instead of a typed error when the folder
        # does not exist.
        with pytest.raises(exceptions.ConfigurationError) as caught:
            reading.read(tmp_path / "absent")
        assert caught.value.problems[0].code == "folder-unreadable"

    def test_latency_target_is_read_and_checked(self):
        # Guards against accepting a latency target of zero, which no service
        # can meet, and a negative interference weight.
        merged = folder.merge({"a.toml": VALID + b"latency_target_ms = 20\n"})
        found = schema.parse(merged).services["s"]
        assert found.latency_target.total_seconds() == 0.02
        text = VALID + b"latency_target_ms = 0\n[site]\ninterference = -1\n"
        assert problems_of({"a.toml": text}) == [
            ("out-of-range", "a.toml", "site.interference"),
            ("out-of-range", "a.toml", "services.s.latency_target_ms"),
        ]


class TestJobTimes:
    """Jobs may declare when they should start and must have ended."""

    def test_job_times_are_read_and_checked(self):
        # Guards against dropping a start time or deadline while parsing, and
        # against accepting zero or negative ones.
        job = b"[jobs.j]\nteam = 't'\nstart_by_s = 5\ndeadline_s = 60\n"
        found = schema.parse(folder.merge({"a.toml": VALID + job})).jobs["j"]
        assert found.start_by.total_seconds() == 5
        assert found.deadline.total_seconds() == 60
        invalid_job = (
            b"[jobs.j]\nteam = 't'\nstart_by_s = 0\ndeadline_s = -1\n"
        )
        assert [
            p[0] for p in problems_of({"a.toml": VALID + invalid_job})
        ] == [
            "out-of-range",
            "out-of-range",
        ]
