Feature: Release notes and moves on real processes

  @known_red
  Scenario: A note, a bad version, and the death of the steering VM
    Given 4 VMs in 2 zones and an engine of version v2
    When a note that adds a budget is applied at VM 3
    Then the note is in force at all VMs within 3 seconds
    When a move to v2 runs while v2 breaks all streams
    Then the move ends as taken_back and callers get complete responses from v1
    When a second move to v2 runs while v2 is healthy
    And the steering VM of the second move is killed
    Then the move ends as done and callers still get complete responses
