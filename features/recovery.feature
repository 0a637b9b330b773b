Feature: Takeovers and outages between real processes

  Scenario: The owner is paused past its lease, and then the store is down
    Given a system with zones "a", 2 workers and 2 schedulers a zone
    And a configuration with service "booking" of 2 replicas
    When a caller submits job "memorial" of 4 tasks that take 18 s
    And all tasks of job "memorial" run
    And the owner of the job's zone is paused for 6 s
    And the store is down for 6 s
    Then job "memorial" completes
    And each task of job "memorial" ran exactly once
