Feature: Stand-ins bring about the faults of real upstreams

  Scenario: A repeated prompt is found in the cache until memory runs out
    Given a prompt cache of 4 blocks
    Then a prompt of 3 blocks misses 3 of them
    And the same prompt again misses 0 of them
    And another prompt of 3 blocks misses 3 of them
    And the first prompt misses 3 of them again
    And every block stored or evicted has an event

  Scenario: Cache events come late and with gaps
    Given a prompt cache of 4 blocks
    Then 100 stored blocks show no event within the lag
    And with loss their events have gaps and keep their order

  Scenario: Waiting runs enter the batch by priority
    When runs of priority 2, 1 and 0 wait for one place
    Then they enter in the order 0, 1, 2
    And a run that gives up leaves its place to the next

  Scenario: A VM that dies drops out of the membership list
    Then a silent VM is listed for the time-out and not after it
    And the list shows a change only after the lag

  Scenario: An old fencing number is refused only by an engine that checks
    Then orders with fencing numbers 2 then 1 are taken 1 of 2 times if checked
    And orders with fencing numbers 2 then 1 are taken 2 of 2 times if unchecked
