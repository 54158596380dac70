Feature: Ends that a relaying VM fails to examine

  # Guards against a tunnel that hangs because an error has ended the task that
  # examines the end of a response. An older VM takes any end for a good one.
  Scenario Outline: An error in the examination resets the tunnel of <vm>
    Given a relaying VM that cannot examine ends
    When a runner ends a response without a length through the tunnel of <vm>
    Then the tunnel is reset within 20 ms, without a last chunk
    And the relaying VM has no connection and no tunnel

    Examples:
      | vm                           |
      | a VM that accepts chunks     |
      | an older VM                  |
