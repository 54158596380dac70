Feature: Virtual time

  Scenario: Concurrent sleeps end in order of their duration
    When one task sleeps an hour and another sleeps a minute in virtual time
    Then the shorter sleep ends first and the virtual clock is at one hour
