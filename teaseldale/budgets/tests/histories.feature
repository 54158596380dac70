Feature: Random histories against an exact ledger

  Scenario: Seeded histories with faults keep every promise
    When 2000 histories of 50 steps are run
    Then only histories listed as known failures have failed
