Feature: Endpoints, zones and gateways that leave

  Background:
    Given 2 endpoints in zone "a" and 2 in zone "b"
    And a gateway in zone "a"

  Scenario: An endpoint leaves under load
    When callers send requests for 4 s and after 1 s endpoint "a0" leaves
    Then no request was cut or refused
    And endpoint "a0" started no request later than 1 s after that

  Scenario: Operators take a zone out and bring it back under load
    When callers send requests for 4 s and after 1 s zone "a" goes out
    Then no request was cut or refused
    And endpoint "a0" started no request later than 1 s after that
    When callers send requests for 4 s and after 1 s zone "a" comes back
    Then no request was cut or refused
    And endpoint "a0" has run requests again

  Scenario: An endpoint is replaced under the same address
    When callers send requests for 4 s and after 1 s endpoint "a0" is replaced
    Then the history has no violation
    And endpoint "a0-next" has run requests again

  Scenario: A gateway stops as planned
    When callers send requests for 4 s and after 1 s the gateway is stopped
    Then the gateway said that it was not ready before it stopped listening
    And no request was cut
    And the gateway ended with status 0

  Scenario: A gateway starts while the store is down
    When a second gateway starts that knows only its peer
    Then it becomes ready and answers requests
