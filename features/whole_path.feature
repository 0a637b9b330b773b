Feature: The whole path through separate processes

  Scenario: A job and a service run, and the owner is killed meanwhile
    Given a system with zones "a,b", 2 workers and 2 schedulers a zone
    And a configuration with service "booking" of 4 replicas
    When a caller submits job "memorial" of 6 tasks that take 6 s
    And a caller sends a request to service "booking"
    Then the whole answer to that request comes back
    When all tasks of job "memorial" run
    And the owner of the job's zone is killed
    Then job "memorial" completes
    And each task of job "memorial" ran exactly once
