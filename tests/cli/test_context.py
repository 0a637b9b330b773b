"""Tests of addresses and output of the operators' command line."""

import io

import pytest

from turmerichook._internal.cli import output
from turmerichook._internal.commands import context as contexts
from turmerichook import exceptions


class Terminal(io.StringIO):
    """A stream that says that it is a terminal."""

    def isatty(self):
        return True


class TestPrecedence:
    """Options precede the environment, which precedes the file."""

    def test_all_three(self, tmp_path):
        # Guards against a command that acts on another site than named.
        file = tmp_path / "operator.toml"
        file.write_text(
            'store = "10.0.0.1:1"\ngateway = "10.0.0.1:2"\nauthor = "file"\n'
        )
        environment = {
            contexts.FILE_VARIABLE: str(file),
            "TURMERICHOOK_STORE": "10.0.0.2:1",
            "TURMERICHOOK_AUTHOR": "environment",
        }
        found = contexts.load(author="option", environment=environment)
        assert found == contexts.Context(
            store="10.0.0.2:1", gateway="10.0.0.1:2", author="option"
        )

    @pytest.mark.parametrize(
        "text", [b"store = 3", b"shop = 'x'", b"\xff", b"store = 'host:1'"]
    )
    def test_bad_file(self, tmp_path, text):
        # Guards against a silent fall back to the default address.
        file = tmp_path / "operator.toml"
        file.write_bytes(text)
        environment = {contexts.FILE_VARIABLE: str(file)}
        with pytest.raises(exceptions.SettingsError):
            contexts.load(environment=environment)

    def test_named_file_is_missing(self, tmp_path):
        # Guards against a typing error in the variable.
        environment = {contexts.FILE_VARIABLE: str(tmp_path / "absent")}
        with pytest.raises(exceptions.SettingsError):
            contexts.load(environment=environment)


class TestColour:
    """Colour appears on terminals only."""

    def test_streams(self, monkeypatch):
        # Guards against control characters in files and pipes.
        monkeypatch.delenv("NO_COLOR", raising=False)
        assert output.coloured("x", output.RED, io.StringIO()) == "x"
        assert output.coloured("x", output.RED, Terminal()) != "x"
        monkeypatch.setenv("NO_COLOR", "1")
        assert output.coloured("x", output.RED, Terminal()) == "x"
