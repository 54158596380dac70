Feature: The callers' page is right

  Scenario: Its examples run as printed
    Given a fleet of 1 VMs
    Then every shell example of the page is answered
    And the Python example of the page prints a completion

  Scenario: It names every refusal code with its status
    Then each refusal code stands on the page beside its status
