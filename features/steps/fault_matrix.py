"""Steps that run cells of the fault matrix.

A cell is a scenario in which a fault occurs at one step of the system.
"""

import behave

from faults import cells


@behave.when('the cell "{name}" of the fault matrix runs with seed {seed:d}')
def step_run(context, name, seed):
    context.verdict = cells.run(cells.find(name), seed)


@behave.when('the cell "{name}" runs with the break "{broken}"')
def step_run_broken(context, name, broken):
    context.verdict = cells.run(cells.find(name), 1, broken=broken)


@behave.then("its step was reached and every promise held")
def step_held(context):
    assert not context.verdict.setup, context.verdict.setup
    assert not context.verdict.violations, context.verdict.violations


@behave.then('the promise "{promise}" is reported broken')
def step_broken(context, promise):
    broken_promises = {v.promise.value for v in context.verdict.violations}
    assert promise in broken_promises, context.verdict
