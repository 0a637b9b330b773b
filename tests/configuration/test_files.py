"""Property tests of the operators' files, with fixed seeds."""

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

KEYS = sorted({f.name for known in fields.SECTIONS.values() for f in known})
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
    """Any files are either accepted whole or refused whole."""

    @BOUNDED
    @hypothesis.given(files=FILES)
    def test_accepted_or_refused(self, files):
        # Guards against a crash on odd files, and against a problem
        # without code, expectation or file.
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
        # Guards against a crash on a bundle or head that was damaged.
        for read in (bundle.unpack_files, bundle.unpack_head):
            try:
                read(packed)
            except exceptions.MessageError:
                continue


class TestKeys:
    """The page of keys and the check agree."""

    def test_page_is_current(self):
        # Guards against a key that is added or changed in code only.
        page = configuration_keys.PAGE.read_text()
        assert page == configuration_keys.render()
