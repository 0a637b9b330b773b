"""Tests of the operator command line's addresses and coloured output."""

import io

import pytest

from turmerichook._internal.cli import output
from turmerichook._internal.commands import context as contexts
from turmerichook import exceptions


class Terminal(io.StringIO):
    """Text stream whose ``isatty`` returns True."""

    def isatty(self):
        return True


class TestPrecedence:
    """Options override the environment, which overrides the file."""

    def test_option_environment_and_file(self, tmp_path):
        # Guards against a command that acts on another site than the one
        # that the operator named, because a source of lower precedence
        # overrides a higher one.
        file = tmp_path / "operator.toml"
        file.write_text(
            'store = "10.0.0.1:1"\ngateway = "10.0.0.1:2"\nauthor = "file"\n'
        )
        environment = {
            contexts.FILE_VARIABLE: str(file),
            "TURMERICHOOK_STORE": "10.0.0.2:1",
            "TURMERICHOOK_AUTHOR": "environment",
        }
        context = contexts.load(author="option", environment=environment)
        assert context == contexts.Context(
            store="10.0.0.2:1", gateway="10.0.0.1:2", author="option"
        )

    @pytest.mark.parametrize(
        "text", [b"store = 3", b"shop = 'x'", b"\xff", b"store = 'host:1'"]
    )
    def test_invalid_file_is_refused(self, tmp_path, text):
        # Guards against the use of the default address, without an error,
        # when the operator's file is invalid.
        file = tmp_path / "operator.toml"
        file.write_bytes(text)
        environment = {contexts.FILE_VARIABLE: str(file)}
        with pytest.raises(exceptions.SettingsError):
            contexts.load(environment=environment)

    def test_missing_configured_file_is_refused(self, tmp_path):
        # Guards against the use of the default address when the variable
        # names a file that does not exist, such as after a typing error.
        environment = {contexts.FILE_VARIABLE: str(tmp_path / "absent")}
        with pytest.raises(exceptions.SettingsError):
            contexts.load(environment=environment)


class TestColour:
    """Texts are coloured on terminals only, and not with NO_COLOR."""

    def test_colour_by_stream_and_variable(self, monkeypatch):
        # Guards against terminal control characters in output that is
        # redirected to a file or pipe, or that NO_COLOR keeps plain.
        monkeypatch.delenv("NO_COLOR", raising=False)
        assert output.coloured("x", output.RED, io.StringIO()) == "x"
        assert output.coloured("x", output.RED, Terminal()) != "x"
        monkeypatch.setenv("NO_COLOR", "1")
        assert output.coloured("x", output.RED, Terminal()) == "x"
