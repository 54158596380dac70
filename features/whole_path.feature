Feature: The whole path from a caller to an upstream and back

  Scenario: A fleet run from the built file serves, bills and refuses
    Given a fleet of 3 VMs run from the built file
    When a caller streams 16 tokens through VM 1
    Then the stream is whole and has 16 tokens
    And 19 tokens are billed to budget drafting
    When a caller sends an order with key order-1 through VM 0
    And a caller sends an order with key order-1 through VM 2
    Then the service ran key order-1 once
    And 20 tokens are billed to budget drafting
    When a caller with an empty budget asks VM 1
    Then the caller is refused with status 402 and code budget_exhausted
    And no VM has a child process or an io_uring descriptor
