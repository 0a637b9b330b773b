Feature: Requests through links that fail

  Callers send requests that may and that may not be repeated. Whatever the
  link does, no request that must run once runs twice, no refusal claims
  wrongly that nothing ran, and no wrong or partial answer looks whole.

  Scenario Outline: Connections to endpoints suffer <fault>
    Given 3 endpoints in zone "a" whose connections suffer "<fault>" at every step
    And a gateway in zone "a"
    When 12 callers send 25 mixed requests each
    Then the history has no violation
    And at least <answered> of 300 requests are answered
    And the links have failed at least <times> times

    Examples:
      | fault      | answered | times |
      | delay      | 300      | 0     |
      | stall      | 300      | 3     |
      | reset      | 200      | 10    |
      | truncate   | 200      | 10    |
      | half-open  | 150      | 3     |
      | black-hole | 100      | 3     |
      | slow       | 280      | 0     |
      | duplicate  | 200      | 10    |
      | cross      | 150      | 3     |

  Scenario: Callers break off and send nonsense
    Given 2 endpoints in zone "a" whose connections suffer "none" at every step
    And a gateway in zone "a"
    When 300 connections send nonsense or break off
    Then the gateway answers and has no request in flight
    And the resident memory of the gateway is below 32 MB
    When 12 callers send 25 mixed requests each
    Then the history has no violation
    And at least 300 of 300 requests are answered
