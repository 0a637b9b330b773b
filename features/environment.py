"""Hooks of behave that prepare each scenario and stop its processes."""

import pathlib
import tempfile

from standins import launcher
from tools import known_red


def before_scenario(context, scenario):
    """Skip a scenario that is known to fail; create its temporary folder."""
    if f"{scenario.feature.name}: {scenario.name}" in known_red.tests():
        scenario.skip("listed in KNOWN-RED.txt")
    context.temporary_directory = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.temporary_directory.name)
    context.system = None
    context.platform = None


def after_scenario(context, scenario):
    """Stop the scenario's processes and remove its temporary folder."""
    if context.system is not None:
        context.system.stop()
    if context.platform is not None:
        context.runner.run(context.platform.stop())
        context.runner.close()
    context.temporary_directory.cleanup()


def start_system(context, layout: launcher.Layout) -> None:
    """Start a system, which ``after_scenario`` stops."""
    context.system = launcher.Launcher(layout=layout, folder=context.folder)
    context.system.start()
