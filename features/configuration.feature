Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a system of zones "a,b" with 2 gateways and 1 scheduler a zone
    And generation 1 is in force in all processes

  Scenario Outline: A write of an apply is lost, or its answer, or it is late
    When the store <fault> at "<step>" while an operator applies a change
    Then the operator's exit status is 0
    And generation 2 is in force in all processes within 10 s
    And a later change becomes generation 3
    And no process went back to an older generation

    Examples:
      | step                        | fault                |
      | PUT config/bundles/* before | loses the request    |
      | PUT config/bundles/* after  | loses the answer     |
      | PUT config/history/* before | loses the request    |
      | PUT config/history/* after  | loses the answer     |
      | PUT config/head before      | loses the request    |
      | PUT config/head after       | loses the answer     |
      | PUT config/head before      | delivers it late     |

  Scenario: The store is down before the write
    When the store goes down
    And an operator applies a change
    Then the operator's exit status is 4
    And the operator reads "nothing was applied"
    When the store returns
    Then generation 1 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: The store is down during the watch and a process restarts
    Given an operator applied a change
    And generation 2 is in force in all processes within 10 s
    When the store goes down
    And process "gateway-a-0" is killed and started again
    Then generation 2 is in force in all processes within 10 s
    When the store returns
    And an operator applies a change
    Then the operator's exit status is 0
    And generation 3 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: Two operators apply at once
    When two operators apply different changes at once
    Then one operator's exit status is 0 and the other's is 3
    And the other operator reads the first one's change
    And generation 2 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: The zone's watcher is killed
    When process "gateway-a-0" is killed
    And an operator applies a change
    Then generation 2 is in force in all live processes within 10 s
    And no process went back to an older generation

  Scenario: The zone's watcher is paused and resumed
    When process "gateway-a-0" is paused
    And an operator applies a change
    And an operator applies a change
    Then generation 3 is in force in all live processes within 10 s
    When process "gateway-a-0" is resumed
    Then generation 3 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: A zone is cut off and joined again
    When zone "b" is cut off from the other zones and the store
    And an operator applies a change and waits 5 s for all processes
    Then the operator's exit status is 1
    And the operator reads "gateway-b-0 (generation 1)"
    When zone "b" is joined again
    Then generation 2 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: A zone is cut off from the store only
    When zone "b" is cut off from the store
    And an operator applies a change
    Then generation 2 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: The store is replaced by an empty one
    Given an operator applied a change
    And generation 2 is in force in all processes within 10 s
    When the store is replaced by an empty one
    And all processes are recorded in the store again
    And an operator applies a change with "--force"
    Then the operator's exit status is 0
    And generation 3 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: A bundle is damaged in the store
    When the bundle of generation 2 is damaged before its head is written
    Then all zones' logs show "TH-3003" within 10 s
    And generation 1 is in force in all processes within 10 s
    When an operator applies the same folder with "--force"
    Then the operator's exit status is 0
    And generation 3 is in force in all processes within 10 s
    And no process went back to an older generation

  Scenario: A later version's bundle is rejected as a whole
    When a later version applies generation 2 with keys that nobody knows
    Then all processes' logs show "TH-3002" within 10 s
    And generation 1 is in force in all processes within 10 s
    When an operator applies a change
    Then the operator's exit status is 3
    When an operator applies a change with "--force"
    Then the operator's exit status is 0
    And generation 3 is in force in all processes within 10 s
    And no process went back to an older generation
