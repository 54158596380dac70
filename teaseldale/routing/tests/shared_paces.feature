Feature: VMs of a cell share what they observe about the pace of runners

  # Guards against VMs of large fleets that choose by outdated paces, since each
  # of them has one sample of a runner every few seconds.
  Scenario: A cell that shares its samples places requests as if it knew the speeds
    When 60 prompts and 25 plain requests per second are placed for 25 s by each rule
    Then the 95th percentiles with shared paces are at most 1.2 times those with true speeds
    And those with one VM that sends values 10 times too fast differ by at most 0.1
    And no runner is starved in the cell
    And each VM sends at most 8,000 bytes of placements in any second

  # Guards against estimates that outlast a change of the runner's machine.
  Scenario Outline: The use of a runner matches its speed 5 s after a change
    When runner "<runner>" takes <factor> times as long from 12 s on
    Then from 17 s to 27 s its share of the prompts is within 0.2 of that with true speeds

    Examples:
      | runner | factor |
      | i-6    | 3      |
      | i-0    | 0.333  |

  # Guards against an estimate that only the VM with the samples can use.
  Scenario: A VM knows the pace of runners that other VMs use
    Given 3 VMs that share paces
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    Then VM 0 expects prompts of "i-0" to be read at 20 tokens/ms within 0.05
    And VM 0 has nothing to send

  Scenario: A VM knows the slowdown that others have read in answers
    Given 3 VMs that share paces
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    And VM 1 and VM 2 read a slowdown of 3 of runner "i-0"
    Then VM 0 expects prompts of "i-0" to be read at 6.67 tokens/ms within 0.05

  # Guards against a VM with a stalled link, or with false values, that decides
  # where all others place their requests.
  Scenario Outline: One VM that differs by <factor> times has the effect of an outlier
    Given 4 VMs that share paces
    When all VMs but VM 1 read prompts at 40 tokens/ms at runner "i-0" for 3 s
    And VM 1 sends for 9 s that it is <factor> times as fast, and no other VM does
    Then VM 0 expects prompts of "i-0" to be read at 40 tokens/ms within a factor of 1.5

    Examples:
      | factor |
      | 10     |
      | 0.1    |

  Scenario: One other VM alone does not make a runner seem ten times faster
    Given 2 VMs that share paces
    When VM 0 reads prompts at 40 tokens/ms at other runners for 3 s
    And VM 1 sends for 9 s that it is 10 times as fast, and no other VM does
    Then the relative duration of "i-0" at VM 0 is at least 0.66
    And VM 0 knows nothing of "i-0"

  Scenario: A slowdown that one other VM alone reports has the effect of an outlier
    Given 2 VMs that share paces
    When all VMs but VM 1 read prompts at 60 tokens/ms at runner "i-0" for 3 s
    And 3 s pass in the cell
    And VM 1 alone reads a slowdown of 10 of runner "i-0"
    Then VM 0 expects prompts of "i-0" to be read at 40 tokens/ms within 0.05

  # Guards against figures of a runner that has since been replaced.
  Scenario: A new incarnation of a runner invalidates what was received
    Given 3 VMs that share paces
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    And VM 0 learns of a new incarnation of "i-0"
    Then VM 0 knows nothing of "i-0"
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    Then VM 0 knows nothing of "i-0"
    And VM 0 has counted paces as "received" and "other_incarnation"

  Scenario: Duplicate and late datagrams change nothing
    Given 3 VMs that share paces
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    Then VM 0 expects the same if it receives all datagrams again, the last one first

  # Guards against deltas that builds before shared paces cannot read.
  Scenario: Earlier builds read the deltas of this one, and this one reads theirs
    Given 3 VMs that share paces
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    Then an earlier build reads the other fields of their deltas
    And VM 0 reads a delta of an earlier build, and one whose paces are cut off

  # Guards against new traffic in fleets whose runners report no slowdown.
  Scenario: Nothing is sent while no runner reports how long work takes
    Given 3 VMs that share paces, of runners without reports
    When VM 1 and VM 2 read prompts at 20 tokens/ms at runner "i-0" for 2 s
    Then no datagram has paces
