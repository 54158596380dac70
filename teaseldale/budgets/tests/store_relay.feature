Feature: Calls to the store through other VMs

  # Guards against tokens that count as spent when power is lost during a cut: the
  # marks of VMs that were cut off grew old although another VM reached the store.
  Scenario: A VM that is cut off renews its marks through another one
    Given 3 VMs with an account of 1,000,000 tokens
    And datagrams with a latency of up to 10 ms
    When VMs 1 and 2 are cut off from the store for 8 s under load, and all VMs lose power for 1 s
    Then at least 95 in 100 of the unused tokens remain usable
    And the account is not overspent

  # Guards against VMs that go on to use a relay that has ended.
  Scenario: VMs that are cut off find the store again when their relay restarts
    Given 3 VMs with an account of 1,000,000 tokens
    And datagrams with a latency of up to 10 ms
    When VMs 1 and 2 are cut off, and VM 3 ends and restarts 2 s later
    Then the marks of VMs 1 and 2 are renewed within 1,500 ms of its restart

  # Guards against a VM whose own requests slow down as all others are cut off.
  Scenario: A VM relays a bounded number of calls a second
    Given 3 VMs with an account of 1,000,000 tokens
    When VM 1 is asked to relay 500 reads within a second
    Then it has relayed at most 200 of them and answered the others at once
