"""Starts and ends the processes of each scenario."""

import pathlib
import tempfile

from standins import launcher
from tools import known_red


def before_scenario(context, scenario):
    """Give each scenario a folder of its own."""
    if f"{scenario.feature.name}: {scenario.name}" in known_red.tests():
        scenario.skip("listed in KNOWN-RED.txt")
    context.temporary = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.temporary.name)
    context.system = None
    context.platform = None


def after_scenario(context, scenario):
    """End the scenario's processes and remove its folder."""
    if context.system is not None:
        context.system.stop()
    if context.platform is not None:
        context.runner.run(context.platform.stop())
        context.runner.close()
    context.temporary.cleanup()


def start_system(context, layout: launcher.Layout) -> None:
    """Start a system that ends with the scenario."""
    context.system = launcher.Launcher(layout=layout, folder=context.folder)
    context.system.start()
