Feature: A VM killed with streams open

  Scenario: Callers retry with their keys at the other VMs
    Given a fleet of 4 VMs whose budget is settled
    When VM 1 is killed with 50 streams open and the callers retry elsewhere
    And 10 orders are sent through VM 0 and again through VM 2
    Then every retried stream is whole
    And each stream is billed once
    And no order ran twice at the service
