Feature: Placements are exchanged within a byte budget

  # Guards against a VM whose own datagrams fill its link: one with thirty times
  # the load of the others sent 200 to 430 KB of them per second.
  Scenario Outline: A busy VM stays within the budget beside <builds>
    Given a cell of 12 VMs with 60 runners, where the others are <builds>
    When one VM places and ends 115 requests a second for 20 s
    Then its placement datagrams take at most 8,000 bytes in any second
    And the others have counts of it that are right 4 s after its work has ended

    Examples:
      | builds        |
      | current       |
      | older builds  |
      | of both kinds |

  # Guards against counts that stay wrong after a lost datagram.
  Scenario: Counts become right although half of the datagrams are lost
    Given a cell of 12 VMs with 60 runners, where the others are current
    And half of the datagrams are lost
    When one VM places and ends 20 requests a second for 10 s
    Then the others have counts of it that are right 4 s after its work has ended

  # Guards against counts of older builds that are short of a runner with work.
  Scenario: An older build reads the counts of a VM with little work
    Given a cell of 3 VMs with 8 runners, where the others are older builds
    When one VM places 5 requests that do not end
    Then the others count these 5 requests within 1,500 ms and for 10 s

  Scenario: A current VM reads the counts of a VM with little work
    Given a cell of 3 VMs with 8 runners, where the others are current
    When one VM places 5 requests that do not end
    Then the others count these 5 requests within 100 ms and for 10 s
