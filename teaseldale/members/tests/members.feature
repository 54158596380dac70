Feature: VMs of the fleet and who shares work with whom

  # Guards against a VM that tells its placements to the whole fleet.
  Scenario Outline: In a fleet of <vms> VMs each hears at most 11 others, and all runners are used
    Given a fleet of <vms> VMs and <runners> runners
    Then each VM has at most 11 peers, and is a peer of its peers
    And the cells use all runners, and sizes of their shares differ by one at most

    Examples:
      | vms  | runners |
      | 1    | 3       |
      | 8    | 6       |
      | 80   | 48      |
      | 320  | 100     |
      | 2700 | 10000   |

  Scenario: A service with few runners is used by all cells
    Given a fleet of 80 VMs and 3 runners
    Then each VM uses 3 runners

  Scenario: A VM that leaves moves few others to another cell
    Given a fleet of 80 VMs and 48 runners
    When one VM leaves
    Then at most 8 VMs are in another cell

  Scenario: Keepers of an account are the same for all VMs and are asked evenly
    Given a fleet of 80 VMs and 48 runners
    Then all VMs name the same 8 keepers of each of 100 accounts
    And each keeper of an account is asked first by at most 25 VMs

  Scenario: A VM registers once the store answers
    Given 3 VMs whose store is away
    When the store is back for 2 s
    Then each VM knows 3 VMs

  Scenario: A VM that ends is forgotten, one that was taken for dead comes back
    Given 3 VMs with a store
    When VM 1 ends in good order
    Then each other VM knows 2 VMs
    When VM 2 takes VM 3 off the list
    Then each other VM knows 2 VMs

  Scenario: A VM that starts again tells that its earlier start has ended
    Given 3 VMs with a store
    When VM 1 starts again
    Then the others know that its first start has ended, and of no other

  Scenario: A list that does not change costs few calls
    Given 3 VMs with a store
    When 60 s pass without a change
    Then each VM made at most 15 calls
