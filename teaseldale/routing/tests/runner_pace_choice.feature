Feature: Choice of a runner by its learned pace

  Scenario: Equal runners are chosen as without paces
    When 20 s of prompts are placed on 6 runners of equal pace
    Then the 95th percentile with learned paces is at most 1.05 times that of the choice without

  Scenario: Placement follows the paces of runners
    When 30 s of prompts are placed on 6 runners of paces 1:2:4
    Then the 95th percentile with learned paces is at most 1.2 times that with the true ones
    And no runner is starved

  Scenario: Placement follows a pace that changes by a factor of 3
    When 30 s of prompts are placed on 6 runners of paces 1:2:4 that change
    Then the 95th percentile with learned paces is at most 1.2 times that with the true ones
    And no runner is starved

  Scenario: Plain requests prefer the faster runner up to its knee
    Given a runner that takes 20 ms up to 4 requests and one that takes 80 ms
    When 3 plain requests are placed and keep running
    Then the faster runner has all of them

  # Guards against runners that are chosen for noise in measured times although
  # their machines are not shared.
  Scenario Outline: Paces <count> if <reports> of the runners reports how long work takes
    Given a choice that needs reports, and runners of which one is measured as slow
    When <reports> of the runners reports how long work takes
    Then the paces of the runners <count>

    Examples:
      | reports | count        |
      | none    | do not count |
      | one     | count        |
