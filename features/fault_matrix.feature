Feature: A selection of the fault matrix

  Scenario Outline: <cell>
    When the cell "<cell>" of the fault matrix runs with seed 1
    Then its step was reached and every promise held

    Examples:
      | cell                               |
      | job-submit-after/answer-lost       |
      | task-run/paused                    |
      | task-run/host-unreachable          |
      | request-run-after/host-dead        |
      | zone-leave/killed                  |

  Scenario: The checker catches a break of the product
    When the cell "request-run-after/answer-lost" runs with the break "retry-everything"
    Then the promise "I7" is reported broken
