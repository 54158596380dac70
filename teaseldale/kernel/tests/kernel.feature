Feature: Services start in order and end in reverse

  Scenario: A service that fails to drain does not keep the others from it
    Given services a, b and c of which b fails to drain and to stop
    When the kernel runs and is shut down
    Then the steps are a.start b.start c.start c.drain b.drain a.drain c.stop b.stop a.stop

  Scenario: Services are found by name and kind
    Given services a, b and c of which b fails to drain and to stop
    Then b is found by its name and kind
    And an unknown name and a second b are refused with what is known

  Scenario: A service that never ends its drain is left after the time-out
    Given services a and b of which b never ends its drain
    When the kernel runs and is shut down
    Then the steps are a.start b.start b.drain a.drain b.stop a.stop
    And the shutdown took the time-out of one drain
