Feature: Ordered start and reverse-order shutdown of services

  Scenario: A failed drain or stop of one service does not prevent the others
    Given services a, b and c, where b raises an error in drain and stop
    When the kernel runs and is shut down
    Then the life-cycle calls are a.start b.start c.start c.drain b.drain a.drain c.stop b.stop a.stop

  Scenario: Services are looked up by name and type
    Given services a, b and c, where b raises an error in drain and stop
    Then looking up b by its name and type succeeds
    And an unknown name and a duplicate name b raise descriptive errors

  Scenario: The drain of a service that hangs is abandoned after the time-out
    Given services a and b, where the drain of b never returns
    When the kernel runs and is shut down
    Then the life-cycle calls are a.start b.start b.drain a.drain b.stop a.stop
    And the shutdown takes exactly one drain time-out
