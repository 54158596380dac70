Feature: Examples and refusal codes in the documentation for callers

  Scenario: The examples in docs/CALLERS.md run as printed
    Given a fleet of 1 VMs
    Then every shell example on the page succeeds
    And the Python example on the page prints a completion

  Scenario: docs/CALLERS.md lists every refusal code with its status
    Then each refusal code is listed on the page with its status
