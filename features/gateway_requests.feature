Feature: Requests and refusals

  Background:
    Given 2 endpoints in zone "a" and 0 in zone "b"
    And a gateway in zone "a"

  Scenario Outline: Answers without a body
    When a caller sends "<method>" that is to be answered with <status>
    Then the answer has status <status> and no body
    And the same connection carries another request

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario: An endpoint answers before it has read the body
    When a caller sends 2000000 bytes to an endpoint that answers early
    Then the answer has status 200
    And the next requests of other callers are right

  Scenario: The deadline is passed on reduced
    When a caller sends a request with a timeout of 3 s
    Then the endpoint saw a timeout below 3 s and attempt 1

  Scenario: Endpoints without room refuse and the request goes elsewhere
    Given every slot of endpoint "a0" is taken by others
    When a caller sends 20 requests that must run once
    Then all were answered and each ran once

  Scenario Outline: Refusals have stable codes
    When a caller sends a request to "<path>" with header "<header>"
    Then it is refused with <status>, code "<code>" and outcome "not-run"

    Examples:
      | path              | header               | status | code             |
      | /nowhere          | a: b                 | 404    | not-found        |
      | /services/other/x | a: b                 | 404    | unknown-service  |
      | /services/booking | request-timeout: abc | 400    | malformed-header |

  Scenario: A team sends more than its rate
    Given the team may send 10 requests a second
    When a caller sends 60 requests at once
    Then some are refused with code "team-rate-exceeded" and none of these ran

  Scenario: Urgent requests are answered under overload
    When callers offer twice the load that the endpoints can carry
    Then at least 99% of the urgent requests are answered
    And deferrable requests are shed with outcome "not-run"
    And the history has no violation
