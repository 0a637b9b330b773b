"""Property tests of parsing the operators' files, with fixed seeds."""

import hypothesis
from hypothesis import strategies

from tools import configuration_keys
from turmerichook._internal.configuration import bundle
from turmerichook._internal.configuration import fields
from turmerichook._internal.models import ids
from turmerichook import exceptions

BOUNDED = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)

KEYS = sorted(
    {
        f.name
        for section_fields in fields.SECTIONS.values()
        for f in section_fields
    }
)
VALUES = strategies.sampled_from(
    ["1", "-1", "0.5", "nan", "inf", "true", "'a'", "'in'", "[]", "['a']"]
    + ["{}", "[[1]]", "2026-01-01", "1e400", "'\\u0000'", "{ cores = 1 }"]
)
HEADERS = strategies.builds(
    "[{}{}]".format,
    strategies.sampled_from(sorted(fields.TOP_KEYS) + ["x", "'é'"]),
    strategies.sampled_from(["", ".a", ".b", ".'A B'", ".a.quota", ".''"]),
)
ASSIGNMENTS = strategies.builds(
    "{} = {}".format, strategies.sampled_from(KEYS + ["'x.y'"]), VALUES
)
TEXTS = strategies.lists(HEADERS | ASSIGNMENTS, max_size=12).map("\n".join)
FILES = strategies.dictionaries(
    strategies.sampled_from(["a.toml", "b.toml", "c.toml"]),
    TEXTS.map(str.encode) | strategies.binary(max_size=60),
    min_size=1,
)


class TestFiles:
    """Any set of files is either accepted or refused as a whole."""

    @BOUNDED
    @hypothesis.given(files=FILES)
    def test_accepted_or_refused(self, files):
        # Guards against a crash on unusual or malformed files, and against a
        # reported problem that lacks its code, expectation or file.
        packed = bundle.pack_files(files)
        try:
            accepted = bundle.accept(ids.Generation(1), packed)
        except exceptions.ConfigurationError as error:
            assert error.problems
            for problem in error.problems:
                assert problem.code
                assert problem.expected
                assert problem.file in files
        else:
            assert accepted.files == files

    @BOUNDED
    @hypothesis.given(packed=strategies.binary(max_size=200))
    def test_damaged_bundles(self, packed):
        # Guards against any error but ``MessageError`` when a stored bundle
        # or head is damaged.
        for read in (bundle.unpack_files, bundle.unpack_head):
            try:
                read(packed)
            except exceptions.MessageError:
                continue


class TestKeys:
    """The generated page of keys matches what the checker accepts."""

    def test_generated_page_matches_the_fields(self):
        # Guards against a key that was added or changed in the code without
        # generating the page again.
        page = configuration_keys.PAGE.read_text()
        assert page == configuration_keys.render()
