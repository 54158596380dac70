Feature: Release notes are in force everywhere once accepted

  Scenario Outline: Random operators, partitions, replaced VMs and a bad store
    When operators race for 90 seconds under faults of seed <seed>
    Then no VM went back, lacked an accepted note or differed from one copy
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

  Scenario: A cut-off zone is named, and the note can be cancelled
    Given a notes fleet whose zone port is cut off
    When the note hold adds budget b1
    Then the note hold is pending for port and nobody has it in force
    When the note hold is cancelled
    Then the note hold is cancelled and stays so after the zone returns

  Scenario: A note goes on by itself once the zone returns
    Given a notes fleet whose zone port is cut off
    When the note hold adds budget b1
    And the zone port returns and the VM that took the note dies
    Then the note hold is accepted

  Scenario: Wrong notes are refused as a whole
    Given a notes fleet in contact
    When the note first adds budget b1
    Then these notes are refused
      | note      | words                                                   |
      | unknown   | unknown fields: additions.budgets[0].colour             |
      | reference | account/a1.budgets: there is no budget/b9               |
      | range     | budget/b2.initial_tokens: must be 0 or more             |
      | twice     | budget/b1: note 'second' of team 'red' added or changed |
      | stale     | budget/b1: note 'second' of team 'red' changed it       |
      | pending   | budget/b5: note 'third' of team 'red' is pending on it  |
      | moves     | move 'm1' of this note runs on route 'r1'               |

  Scenario: A cut-off VM stops serving, a cut-off zone goes on
    Given a notes fleet in contact
    When the note first adds budget b1
    And the VM mill-0 loses all links
    Then the VM mill-0 serves no more after 4 seconds
    When the zone port is cut off
    Then the VMs of port still serve after 60 seconds

  Scenario: A VM that starts while the store is down learns from its zone
    Given a notes fleet in contact
    When the note first adds budget b1
    And the store goes down and the VM mill-0 is replaced
    Then the VM mill-0 serves revision 1

  Scenario Outline: The checks notice <fault>
    When operators race under faults with <fault>
    Then a check of the notes is red

    Examples:
      | fault                      |
      | no revision check          |
      | acceptance before zones    |
      | serving on an old view     |
