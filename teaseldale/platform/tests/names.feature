Feature: Wire names of the platform

  Scenario: Wire names occur only in the adapter
    Then no module outside the adapter contains a wire name

  Scenario Outline: The check finds <name> outside the adapter
    Then the check reports a module with the text "<name>"

    Examples:
      | name              |
      | X-Expect-Instance |
      | op/config         |
      | GapTargetMs       |
