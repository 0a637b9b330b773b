"""Tests of what the launcher reads back."""

from standins import launcher


class TestHistory:
    """The record is read while the stand-ins write it."""

    def test_line_that_is_being_written(self, tmp_path):
        # Guards against a cell that fails since it read half a line.
        system = launcher.Launcher(
            layout=launcher.Layout(
                zones=("a",), workers=1, gateways=1, schedulers=1
            ),
            folder=tmp_path,
        )
        system.record.write_text('{"time": 2}\n{"time": 1}\n{"time": 3, "ki')
        assert system.history() == [{"time": 1}, {"time": 2}]
