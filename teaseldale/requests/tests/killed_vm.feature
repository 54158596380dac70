Feature: Loss of a VM with open streams

  Scenario: Callers retry with their keys at the other VMs
    Given a fleet of 4 VMs that streams one token every 20 ms
    When VM 1 is killed with 50 open streams and the callers retry at other VMs
    And 10 orders are sent through VM 0 and retried through VM 2
    Then every retried stream is complete
    And each stream is billed once
    And the service ran each order exactly once
