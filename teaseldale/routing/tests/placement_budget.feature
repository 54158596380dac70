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

  # Guards against deltas of a new process that pass for overtaken ones, since
  # their numbers begin again, and against counts of requests that ended with
  # the earlier process.
  Scenario: The counts of a VM that has started again replace its earlier ones
    Given a cell of 3 VMs with 8 runners, where the others are current
    When one VM places 5 requests that do not end
    And this VM starts again after 1,000 ms
    And one VM places 2 requests that do not end
    Then the others count these 2 requests within 100 ms and for 10 s

  Scenario: A late delta of an earlier process changes no counts
    Given a cell of 3 VMs with 8 runners, where the others are current
    When one VM places 5 requests that do not end
    And this VM starts again after 1,000 ms
    And one VM places 2 requests that do not end
    And the first delta of its earlier process arrives 99 ms later
    Then the others count these 2 requests within 0 ms and for 10 s

  # Guards against a mixed fleet in which the only sign of a new process is its
  # lower numbers.
  Scenario: An earlier build that has started again is heard
    Given a cell of 3 VMs with 8 runners, where the others are current
    When one VM of an earlier build sends 200 deltas of 5 requests
    And this VM of an earlier build starts again and sends one of 2 requests
    Then the others count 2 requests of it

  # Guards against a VM that has started again and takes busy runners for idle
  # ones until all unchanged counts are due again.
  Scenario: A VM that has started again soon knows the counts of the others
    Given a cell of 3 VMs with 8 runners, where the others are current
    When one VM places 5 requests that do not end
    And the other VMs start again after 330 ms
    Then the others count these 5 requests within 100 ms and for 10 s
