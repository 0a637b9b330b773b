Feature: Jobs on the users' platform through separate processes

  Scenario: Jobs run through steps on a calm day
    Given a platform with 3 workers and 2 entry processes
    When callers submit 6 jobs at all entry processes
    Then all jobs complete
    And each task was done exactly once
    And a repeated submission is accepted and runs nothing
    And a job that nobody submitted is unknown

  Scenario: The leader is killed while tasks run
    Given a platform with 3 workers and 3 entry processes
    When callers submit 6 jobs at all entry processes
    And the leader is killed
    Then all jobs complete
    And each task was done exactly once

  Scenario: The leader is stopped as planned
    Given a platform with 3 workers and 2 entry processes
    When callers submit 4 jobs at all entry processes
    And the leader is told to stop
    Then it exits with status 0 within 6 s
    And another process leads within 2 s of that order
    And all jobs complete
    And each task was done exactly once

  Scenario: The store is away for some seconds
    Given a platform with 2 workers and 2 entry processes
    When callers submit 2 jobs at all entry processes
    And the store is away
    Then a submission is refused at once with a time to come back
    When the store is back
    Then all jobs complete
    And the refused job never ran

  Scenario: An operator closes a zone
    Given a platform with 4 workers and 2 entry processes
    When an operator closes zone "krakow"
    And callers submit 6 jobs at all entry processes
    Then all jobs complete
    And no task started in zone "krakow"

  Scenario: A caller cancels a job
    Given a platform with 2 workers and 2 entry processes
    When a caller submits a job that takes 60 s
    And the caller cancels it once it runs
    Then nothing of it runs after 3 s
    And its state is "canceled"

  Scenario: The leader restarts while a worker is silent for good
    Given a platform with 3 workers, 3 entry processes and leases of 3 s
    When 6 long-running tasks run on the workers
    And a worker falls silent for good and the leader is restarted
    Then the tasks of that worker run elsewhere within 9 s
    And each other task was started once

  Scenario: The capacity of workers that enforce no limits shrinks and grows
    Given a platform with 2 workers that start whatever they are told and 2 entry processes
    When callers submit jobs while all workers shrink to 3 cores and grow
    Then all jobs complete
    And no start exceeded a worker's capacity
    And tasks started on workers that were full

  Scenario: A task crashes each worker that starts it
    Given a platform with 6 workers and 3 entry processes
    When a caller submits a job whose task crashes its workers
    And callers submit 6 jobs at all entry processes
    And the leader is killed once a worker has crashed
    Then the job of that task is shown as failed, as it crashed workers
    And all jobs complete
    And the workers counted at most 5 starts of that task

  Scenario: Another writer leaves odd entries among those of the workers
    Given a platform with 3 workers and 3 entry processes
    When callers submit 6 jobs at all entry processes
    And another writer leaves odd entries and overwrites that of a worker
    And callers submit 6 more jobs at all entry processes
    Then all jobs complete
    And no entry process has ended
    And each odd entry is named in the leader's log

  # Guards against a job that fails for lapsed runs: its workers live, but were
  # out of reach of the leader and the registry, and counted as crashed.
  Scenario: A service goes on though its workers are cut off in turn
    Given a platform with 6 workers behind links, 3 entry processes and leases of 2 s
    When a caller submits a service of one task
    And its worker is cut off just after each of 5 starts while the leader is stopped or killed now and then
    Then no caller was shown the service as failed
    And the workers noted only lapsed runs of it, one on each cut
    And 2 s later the service runs on one worker, and never ran on two at once

  Scenario: Large jobs come at once, and the leader is killed beside them
    Given a platform with 4 workers and 3 entry processes
    When callers submit 8 jobs of 3000 steps that no worker may run
    And callers submit 3 jobs at all entry processes
    Then all jobs complete
    When callers submit 3 more jobs at all entry processes
    And the leader is killed
    Then all jobs complete
    And there was one leader before the kill and one after it

  Scenario: A submission takes effect after its job was cancelled
    Given a platform with 3 workers and 3 entry processes
    When the store carries a submission out 4 s late
    And its caller gets no answer and cancels the job at another host
    Then the cancel is answered, and nothing of the job ever starts
    And its state is "canceled"
    And no queue counts the job
