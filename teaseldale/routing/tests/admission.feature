Feature: Admission by deadline and priority, fair between client accounts

  Scenario: A request that cannot make its deadline is refused at once
    Given 1 VMs before 1 runners
    When 16 slots are in use and a request has a deadline of 50 ms
    Then it is refused within 1 ms with deadline_exceeded and a retry-after time

  Scenario: A burst at an idle VM acquires the unused slots of other VMs
    Given 4 VMs before 2 runners
    When VM 0 has completed a request of 5 s and 20 requests arrive at once
    Then all 20 are placed within 600 ms

  Scenario: A full queue refuses requests at once and evicts the lowest priority
    Given 1 VMs before 1 runners
    When 16 slots are in use and 300 low-priority requests are queued
    And a high-priority request arrives
    Then one low-priority request is refused at once with overloaded
    And the queue never held more than 256 requests

  Scenario: Queued requests are served by priority, then by account in turn
    Given 1 VMs before 1 runners
    When 16 slots are in use, account a sends 12 requests, then b, c and a high-priority client one each
    Then they start in the order high, a, b, c

  Scenario: Retries stay within the route's retry budget
    Given 2 VMs before 3 runners
    When every stream fails and 400 requests arrive with a retry share of 10 percent
    Then each VM made at most 10 retries plus 10 percent of its requests
    And retries_refused of drafts was incremented
