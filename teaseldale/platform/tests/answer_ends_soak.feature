Feature: Ends of answers on slow paths, with real processes

  # Guards against answers that were cut as their runner, its connection or a VM
  # ended, and that callers see as whole: a VM judges the end of an answer
  # without a length by other connections, which may deliver later.
  Scenario Outline: Callers see no answer as whole that was cut on a slow path
    Given a history of slow paths, ends and resets, drawn by seed <seed>
    When it is played with two VMs and four runners
    Then no answer that was cut is complete by its framing
    And no answer has bytes of another one
    And at least 95 in 100 answers without a fault are whole
    And at least 40 answers of killed runners were not whole
    And at least 40 answers of reset connections were not whole

    Examples:
      | seed |
      | 1    |
      | 2    |
