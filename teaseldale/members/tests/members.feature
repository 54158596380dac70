Feature: Fleet membership, cells of VMs and keepers of accounts

  # Guards against placements that are broadcast to the whole fleet, so that the
  # traffic of each VM grows with the fleet.
  Scenario Outline: In a fleet of <vms> VMs each VM has at most 11 peers, and all runners are used
    Given a fleet of <vms> VMs and <runners> runners
    Then each VM has at most 11 peers, and being a peer is symmetric
    And the cells use all runners, in subsets whose sizes differ by at most one

    Examples:
      | vms  | runners |
      | 1    | 3       |
      | 8    | 6       |
      | 80   | 48      |
      | 320  | 100     |
      | 2700 | 10000   |

  Scenario: All cells use all runners of a service with few runners
    Given a fleet of 80 VMs and 3 runners
    Then each VM uses 3 runners

  Scenario: Removing a VM moves few others to another cell
    Given a fleet of 80 VMs and 48 runners
    When one VM is removed from the fleet
    Then at most 8 VMs change their cell

  Scenario: All VMs select the same keepers of an account and spread their requests evenly
    Given a fleet of 80 VMs and 48 runners
    Then all VMs select the same 8 keepers for each of 100 accounts
    And each keeper of an account is the first choice of at most 25 VMs

  Scenario: A VM registers as soon as the store is available
    Given 3 VMs that register while the store is unavailable
    When the member store is available again for 2 s
    Then each VM lists 3 VMs

  Scenario: A VM that shuts down is removed, one removed while alive registers again
    Given 3 VMs with a store
    When registered VM 1 shuts down gracefully
    Then each other VM lists 2 VMs
    When registered VM 2 removes VM 3 from the member list
    Then each other VM lists 2 VMs

  Scenario: A restarted VM announces that its earlier incarnation has ended
    Given 3 VMs with a store
    When registered VM 1 restarts
    Then the others know that its first incarnation has ended, and no other one

  Scenario: An unchanged member list costs few store calls
    Given 3 VMs with a store
    When 60 s pass without a membership change
    Then each VM makes at most 15 store calls
