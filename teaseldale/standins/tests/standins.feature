Feature: Stand-ins reproduce the faults of real upstreams

  Scenario: A repeated prompt is cached until its blocks are evicted
    Given a prompt cache of 4 blocks
    Then a prompt of 3 blocks misses 3 of them
    And the same prompt again misses 0 of them
    And another prompt of 3 blocks misses 3 of them
    And the first prompt misses 3 of them again
    And every block stored or evicted has an event

  Scenario: Cache events are delayed and may be lost
    Given a prompt cache of 4 blocks
    Then 100 stored blocks show no event within the lag
    And with loss their events have gaps and keep their order

  Scenario: Waiting runs enter the batch by priority
    When runs of priority 2, 1 and 0 wait for one place
    Then they are admitted in the order 0, 1, 2
    And a run that is cancelled while waiting leaves the queue

  Scenario: A crashed VM is removed from the membership list
    Then a VM that stops announcing itself is listed only until the time-out
    And a change is visible in the list only after the lag

  Scenario: A stale fencing number is rejected only if fencing is checked
    Then orders with fencing numbers 2 then 1 are accepted 1 of 2 times if checked
    And orders with fencing numbers 2 then 1 are accepted 2 of 2 times if unchecked
