Feature: The operators' command line

  Scenario Outline: Bad input is refused with a typed error and no change
    Given a store with generation 1 applied
    When an operator applies a folder with <mistake>
    Then the operator's exit status is <status>
    And the operator reads "<code>"
    And the operator reads "<place>"
    And the same error is there as JSON with code "<code>"
    And the store still holds generation 1 only

    Examples:
      | mistake                       | status | code              | place            |
      | an unknown key                | 2      | unknown-key       | 20.toml:3        |
      | a wrong type                  | 2      | wrong-type        | 20.toml:3        |
      | an id defined twice in a file | 2      | duplicate-id      | 20.toml:2        |
      | an id defined in two files    | 2      | duplicate-id      | 20.toml:2        |
      | a limit below zero            | 2      | out-of-range      | 20.toml:2        |
      | an infinite number            | 2      | not-finite        | 20.toml:2        |
      | a folder named like a file    | 2      | not-a-file        | 20.toml          |
      | a dangling link               | 2      | link-dangling     | 20.toml          |
      | a file that is not UTF-8      | 2      | not-utf8          | 20.toml:2        |
      | a file that is not TOML       | 2      | not-toml          | 20.toml:1        |
      | a file that is too large      | 2      | too-large         | 20.toml          |
      | no files                      | 2      | folder-empty      | at least one     |
      | no folder                     | 2      | folder-unreadable | No such file     |
      | a damaged generation marker   | 2      | settings-invalid  | .turmerichook-ge |

  Scenario: A store that refuses connections
    Given a store with generation 1 applied
    When the store is killed
    And an operator applies a folder with a valid change
    Then the operator's exit status is 4
    And the operator reads "store-unavailable"
    And the operator reads "nothing was applied"

  Scenario: Files come back byte for byte, and edits are not overwritten
    Given a store with generation 1 applied
    When an operator applies a folder with odd but valid bytes
    And an operator pulls into "copy"
    Then the operator's exit status is 0
    And folder "copy" holds the same bytes
    When an operator edits a file in "copy"
    And an operator pulls into "copy"
    Then the operator's exit status is 2
    And the operator reads "folder-unwritable"
    When an operator runs "config pull {folder}/old --generation 1"
    Then the operator's exit status is 0
    And the operator reads "generation 1: 1 files"
    When an operator runs "config pull {folder}/none --generation 99"
    Then the operator's exit status is 1
    And the operator reads "configuration-not-found"

  Scenario: A folder that another operator's change has overtaken
    Given a store with generation 1 applied
    When an operator pulls into "copy"
    And an operator applies a folder with a valid change
    And an operator edits a file in "copy"
    And an operator runs "config apply {folder}/copy"
    Then the operator's exit status is 3
    And the operator reads "configuration-conflict"
    And the operator reads "+[teams.change]"
    When an operator runs "config history --json"
    Then the operator reads ""generation": 2"

  Scenario: Dry run, diff, show and check change nothing
    Given a store with generation 1 applied
    When an operator changes the folder
    And an operator runs "config apply {site} --dry-run"
    Then the operator reads "+[teams.change]"
    When an operator runs "config diff {site} --json"
    Then the operator reads "20.toml"
    When an operator runs "config check {site}"
    Then the operator reads "2 files are valid: 1 zones, 2 teams"
    When an operator runs "config show"
    Then the operator reads "generation  1"
    And the store still holds generation 1 only

  Scenario Outline: Each command explains itself with an example
    When an operator runs "<command> --help"
    Then the operator's exit status is 0
    And the operator reads "Example: turmerichook <command>"

    Examples:
      | command         |
      | config check    |
      | config diff     |
      | config apply    |
      | config pull     |
      | config show     |
      | config history  |
      | status          |
      | jobs submit     |
      | jobs list       |
      | jobs show       |
      | jobs wait       |
      | jobs cancel     |
      | services list   |
      | services show   |
      | services submit |
      | services wait   |
      | services cancel |
      | explain         |
      | drain           |
      | zone out        |
      | zone in         |

  Scenario: An operator's day
    Given a system of zones "a,b" with 1 gateways and 1 scheduler a zone
    And generation 1 is in force in all processes
    When an operator submits service "booking" of 2 replicas
    And an operator runs "config apply {site} --wait"
    Then the operator reads "in force in 4 processes"
    When an operator runs "services wait booking --timeout 30"
    Then the operator reads "booking has 2 endpoints"
    When an operator submits job "memorial" as TOML
    Then the operator's exit status is 0
    When an operator runs "jobs list --state accepted"
    Then the operator reads "memorial  accepted"
    When an operator runs "status --processes"
    Then the operator reads "scheduler-a-0"
    And the operator reads "1 live"
    When an operator runs "jobs wait memorial --timeout 30"
    Then the operator reads "job memorial is completed"
    When an operator runs "explain job/memorial/0"
    Then the operator's exit status is 0
    When an operator runs "drain b {site} --timeout 30"
    Then the operator reads "zone b is empty"
    When an operator runs "zone in b {site} --apply"
    Then the operator's exit status is 0
    When an operator runs "services cancel booking {site}"
    And an operator runs "config apply {site} --wait --json"
    Then the operator reads ""all": 4"
    When an operator runs "jobs show absent"
    Then the operator's exit status is 1
    And the operator reads "job-not-found"
    When an operator runs "zone out nowhere {site}"
    Then the operator's exit status is 2
    When an operator runs "explain job/absent/0"
    Then the operator's exit status is 1
    And the operator reads "task-unknown"
    When an operator runs "status --wrong"
    Then the operator's exit status is 2
