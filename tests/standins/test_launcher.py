"""Tests of how the launcher reads the recorded history."""

from standins import launcher


class TestHistory:
    """The history is read while the stand-ins append to it."""

    def test_incomplete_last_line_is_skipped(self, tmp_path):
        # Guards against a cell of the fault matrix that fails because the
        # launcher parsed an incomplete last line.
        system = launcher.Launcher(
            layout=launcher.Layout(
                zones=("a",), workers=1, gateways=1, schedulers=1
            ),
            folder=tmp_path,
        )
        system.record.write_text('{"time": 2}\n{"time": 1}\n{"time": 3, "ki')
        assert system.history() == [{"time": 1}, {"time": 2}]
