Feature: Services and batch work on one host

  Scenario: A noisy job is throttled, then evicted with its checkpoint
    Given a system with zones "a", 1 workers and 1 schedulers a zone
    And a configuration with service "booking" of 1 replicas
    And service "booking" has a latency target of 2.5 ms
    And usage is reported after 1 s and "noisy" slows "booking" down by 8
    When a caller submits job "noisy" of 1 tasks that take 60 s
    Then the log of a scheduler shows "TH-5102"
    And the workers record "throttle" for job "noisy"
    And job "noisy" is stopped with a checkpoint

  Scenario: A worker that fails everything is quarantined and comes back
    Given a system with zones "a", 3 workers and 1 schedulers a zone
    And a configuration with service "booking" of 0 replicas
    And worker 0 fails every task
    When a caller submits 30 jobs "first" of 2 s
    Then the log of a scheduler shows "TH-5110"
    And all jobs "first" complete
    When worker 0 fails no more tasks
    And a caller submits job "second" of 400 tasks that take 2 s
    Then the log of a scheduler shows "TH-5112"
    And job "second" completes
