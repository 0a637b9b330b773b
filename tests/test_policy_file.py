"""Tests of the policy file of the entry processes."""

import pytest

from turmerichook._internal.models import policy
from turmerichook._internal import policy_file
from turmerichook import exceptions


class TestPolicyFile:
    """The optional file with a deployment's choices."""

    def test_defaults(self):
        """Guards against a feature that nobody has asked for."""
        assert policy_file.parse({}) == policy.DEFAULT
        assert policy.DEFAULT.overload_order is policy.OverloadOrder.DEADLINE

    def test_order(self, tmp_path):
        """Guards against a choice that is not read."""
        path = tmp_path / "policy.toml"
        path.write_text('[overload]\norder = "least-cost"\n')
        order = policy_file.load(path).overload_order
        assert order is policy.OverloadOrder.LEAST_COST

    @pytest.mark.parametrize(
        "document, named",
        [
            ({"overlord": {}}, "overlord"),
            ({"overload": 7}, "overload"),
            ({"overload": {"oder": "deadline"}}, "overload.oder"),
            ({"overload": {"order": "cheapest"}}, "overload.order"),
            ({"overload": {"order": []}}, "overload.order"),
        ],
    )
    def test_wrong_keys(self, document, named):
        """Guards against a process that ignores what it was told."""
        with pytest.raises(exceptions.SettingsError) as caught:
            policy_file.parse(document)
        assert named in str(caught.value)

    @pytest.mark.parametrize("content", [b"[overload", b"\xff"])
    def test_unreadable(self, tmp_path, content):
        """Guards against an untyped error at the start."""
        path = tmp_path / "policy.toml"
        path.write_bytes(content)
        for missing in (path, tmp_path / "none.toml"):
            with pytest.raises(exceptions.SettingsError):
                policy_file.load(missing)
