Feature: Cold runners get no more than they tolerate

  # Guards against VMs that each send what a cold runner tolerates from all of
  # them, and against capacity that is lost with the VM that holds the limit.
  Scenario Outline: 90 VMs, of which <cut>, keep <runners> runners from too many requests
    Given 90 VMs that send <per_s> requests per second to <runners> runners that may be cold
    And <cut>
    When all runners become cold for 3 s, 2 times, and a VM that holds a limit ends
    Then no cold runner gets more than its bound in any second
    And at least 90 in 100 of what the cold runners tolerate is used
    And every other request is refused soon after its objective, to come back

    Examples:
      | per_s | runners | cut                                                          |
      | 320   | 20      | none is cut off                                              |
      | 320   | 20      | 30 reach the store but no other VM                           |
      | 320   | 20      | 30 reach other VMs but not the store                         |

  # Guards against a fleet that exceeds the bound because of VMs that cannot
  # know that runners are cold.
  Scenario: VMs that are cut off from everything leave room for what they do not know
    Given 90 VMs that send 120 requests per second to 20 runners that may be cold
    And 30 reach neither the store nor other VMs
    When all runners become cold for 3 s, 2 times, and a VM that holds a limit ends
    Then no cold runner gets more than its bound in any second

  @known_red
  Scenario: VMs that are cut off from everything keep the bound at twice what is tolerated
    Given 90 VMs that send 320 requests per second to 20 runners that may be cold
    And 30 reach neither the store nor other VMs
    When all runners become cold for 3 s, 2 times, and a VM that holds a limit ends
    Then no cold runner gets more than its bound in any second

  # Guards against requests that wait for cold runners while warm ones are free,
  # and against a runner that gets all requests because it is empty.
  Scenario: Warm runners with room are preferred
    Given 90 VMs that send 320 requests per second to 20 runners that may be cold
    And none is cut off
    When 5 of the runners become cold for 3 s, 2 times
    Then no cold runner gets more than its bound in any second
    And at least 99 in 100 requests are served
    And no runner has more than 3 times its equal share of a quarter second after it is warm
