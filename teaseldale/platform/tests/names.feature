Feature: Names of the platform's wire

  Scenario: No name of the wire stands outside the adapter
    Then no module outside the adapter contains a name of the wire

  Scenario Outline: The check finds <name> where it strays
    Then a module with the text "<name>" would be found

    Examples:
      | name              |
      | X-Expect-Instance |
      | op/config         |
      | GapTargetMs       |
