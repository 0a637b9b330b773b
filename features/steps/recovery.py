"""Steps that pause processes or make the store unavailable."""

import time

import behave


@behave.when("the owner of the job's zone is paused for {seconds:d} s")
def step_pause_owner(context, seconds):
    owner = context.system.owner(context.job["home"])
    assert owner is not None
    context.system.pause(owner)
    time.sleep(seconds)
    context.system.resume(owner)


@behave.when("the store is down for {seconds:d} s")
def step_store_down(context, seconds):
    context.system.faults(down=True)
    time.sleep(seconds)
    context.system.faults(down=False)
