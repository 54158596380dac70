Feature: Runners that cache a shared prompt part are found across cells

  # Guards against each cell reading a part again that a runner of another cell
  # caches.
  Scenario: A part placed by one VM is found by all others
    Given 78 VMs with a part directory
    When VM 3 sends a prompt with a long shared part to runner "i-7"
    Then every VM finds runner "i-7" for the part within 15 ms
    And a VM finds no runner for another part

  # Guards against a request that waits for a VM that is gone.
  Scenario: A lookup ends without a runner if the owner does not answer
    Given 78 VMs with a part directory
    When VM 3 sends a prompt with a long shared part to runner "i-7"
    And the VM that owns the part is cut off
    Then another VM finds no runner for the part within 15 ms

  # Guards against prompts that are fetched from runners that evicted them.
  Scenario: An entry that is not renewed lapses
    Given 78 VMs with a part directory
    When VM 3 sends a prompt with a long shared part to runner "i-7"
    And 20 seconds pass
    Then no VM finds a runner for the part

  Scenario: The latest runner of a part is found
    Given 78 VMs with a part directory
    When VM 3 sends a prompt with a long shared part to runner "i-7"
    And VM 9 sends a prompt with a long shared part to runner "i-8"
    Then every VM finds runner "i-8" for the part within 15 ms

  # Guards against control traffic that grows with the requests of short prompts.
  Scenario Outline: No datagram is sent for <prompt>
    Given <count> VMs with a part directory
    When VM 3 sends and looks up a prompt with <prompt>
    Then no datagram was sent

    Examples:
      | count | prompt              |
      | 78    | a short shared part |
      | 78    | no shared part      |
      | 12    | a long shared part  |

  # Guards against control traffic that exceeds its share of a VM's link.
  Scenario: Control traffic stays within 8 KB/s per VM at 40 requests per second
    Given 78 VMs with a part directory
    When each VM sends 40 prompts per second of 1,100 shared parts for 2 seconds
    Then no VM sends more than 8,000 bytes per second
