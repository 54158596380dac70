Feature: Accepted release notes are applied in every availability zone

  Scenario Outline: Random operators, partitions, replaced VMs and a bad store
    When operators apply notes for 90 seconds under faults of seed <seed>
    Then no VM reverted, lacked an accepted note or differed from the model
    And after the faults every VM serves the same revision

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |

  Scenario: A pending note names the partitioned zone and can be cancelled
    Given a notes fleet with zone port partitioned
    When note hold that adds budget b1 is applied
    Then note hold is pending for zone port and no VM has applied it
    When note hold is cancelled
    Then note hold stays cancelled after the partition heals

  Scenario: A pending note is accepted automatically once the partition heals
    Given a notes fleet with zone port partitioned
    When note hold that adds budget b1 is applied
    And zone port reconnects and the VM that staged the note is replaced
    Then note hold is accepted

  Scenario: Invalid notes are refused and not stored
    Given a notes fleet without faults
    When note first that adds budget b1 is applied
    Then these notes are refused
      | note      | message                                                 |
      | unknown   | unknown fields: additions.budgets[0].colour             |
      | reference | account/a1.budgets: there is no budget/b9               |
      | range     | budget/b2.initial_tokens: must be 0 or more             |
      | twice     | budget/b1: note 'second' of team 'red' added or changed |
      | stale     | budget/b1: note 'second' of team 'red' changed it       |
      | pending   | budget/b5: note 'third' of team 'red' is pending on it  |
      | moves     | move 'm1' of this note runs on route 'r1'               |

  Scenario: A cut-off VM stops serving, a cut-off zone goes on
    Given a notes fleet without faults
    When note first that adds budget b1 is applied
    And VM mill-0 loses all links
    Then VM mill-0 no longer serves after 4 seconds
    When zone port is partitioned
    Then the VMs of port still serve after 60 seconds

  Scenario: A VM that starts while the store is down learns from its zone
    Given a notes fleet without faults
    When note first that adds budget b1 is applied
    And the table store becomes unavailable and VM mill-0 is replaced
    Then VM mill-0 serves revision 1

  Scenario Outline: The checks notice <fault>
    When operators apply notes under faults with <fault>
    Then an invariant check of the notes fails

    Examples:
      | fault                      |
      | no revision check          |
      | acceptance before zones    |
      | serving on an old view     |
