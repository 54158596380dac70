Feature: Virtual time

  Scenario: An hour passes without waiting and in order
    When one task sleeps an hour and another sleeps a minute in virtual time
    Then the minute ends first and an hour has passed on the virtual clock
