Feature: Deterministic measurements

  Scenario: Every deterministic row meets its bound
    When all measurements with deterministic rows run in quick mode
    Then each deterministic row meets its bound
    And a row that misses its bound is distinguished from one that meets it
