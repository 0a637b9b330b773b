Feature: Customers on the users' platform

  # Guards against a process in the dark that serves a removed key.
  Scenario: A key is removed while the store turns a host away
    Given a platform with 2 workers, 2 entry processes and customers "parish" and "abbey"
    When the store turns the first entry process away
    And the key of "parish" is removed
    Then the other entry process refuses the key of "parish" with 401 within 2 s
    And the first one refuses the key of "parish" with 503 within 3 s of the removal
    And it is not ready
    When the store serves the first entry process again
    Then the first one refuses the key of "parish" with 401 within 3 s
    And all entry processes accept jobs of "abbey"
    And no key is in the logs

  # Guards against a new leader that does not count what its predecessor started.
  Scenario: The leader is killed while a customer is at its quota
    Given a platform with 3 workers, 3 entry processes and customers "parish" and "abbey"
    When "parish" submits 6 jobs of 3 tasks
    And the leader is killed
    Then all jobs complete
    And each task was done exactly once
    And at most 2 tasks ran at the same time

  # Guards against a question that starts, stores or delays something.
  Scenario: An operator asks where a job would go
    Given a platform with 3 workers, 2 entry processes and customers "parish" and "abbey"
    When "parish" submits 2 jobs of 3 tasks
    Then all jobs complete
    When an operator plans a job of 3 tasks for "parish"
    Then the plan names 2 workers and the quota
    And nothing was stored or started for it
    When an operator plans a job for a queue that is not there
    Then the command ends with status 2 and "no-such-queue"
