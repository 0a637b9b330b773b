"""The ``turmerichook`` program: its subcommands and exit statuses."""

import sys

import cyclopts

from turmerichook._internal.cli import config
from turmerichook._internal.cli import jobs
from turmerichook._internal.cli import output
from turmerichook._internal.cli import plan
from turmerichook._internal.cli import services
from turmerichook._internal.cli import site
from turmerichook import exceptions

app = cyclopts.App(
    name="turmerichook",
    help="Operate turmerichook. Exit status 2: bad input, 3: conflict,"
    " 4: unreachable service, 1: other failures.",
)
app.command(config.app)
app.command(jobs.app)
app.command(services.app)
app.command(plan.app)
app.command(site.zone_app)
app.command(site.status, name="status")
app.command(site.explain, name="explain")
app.command(site.drain, name="drain")


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status.

    :param arguments: command line; None takes it from ``sys.argv``.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        app(command_line, result_action="return_value")
    except exceptions.TurmerichookError as error:
        if isinstance(error, exceptions.StoreError) and not error.hint:
            error.hint = "check --store and whether the store answers"
        output.show_error(error, as_json="--json" in command_line)
        return error.exit_status
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return exceptions.EXIT_FAILURE
    return 0
