Feature: Following a table

  # Guards against configurations that arrive late because every version written
  # during an outage is read, one after another, over a slow link.
  Scenario: After an outage only the newest version of a row is read
    Given a table follower that skips replaced versions
    When 30 versions of a row of 60,000 bytes are written while the store is down
    Then the follower has the newest version 500 ms after the store is back
    And it has read fewer than 130,000 bytes since

  # Guards against a follower that never catches up because each answer holds
  # every version written while the previous answer was read.
  Scenario: A follower that fell behind skips replaced versions
    Given a table follower that skips replaced versions
    When 60 versions of a row of 60,000 bytes are written within 2,000 ms and each answer takes 500 ms
    Then the follower has the newest version 1,500 ms after the last one
    And no two consecutive answers contain replaced versions

  # Guards against changes that a follower misses without notice: after a return
  # from an older copy the store assigns revisions again, and a follower that asks
  # for changes after a revision of the lost time skips those up to it.
  Scenario Outline: A follower has all rows after the store returned and wrote <count> rows again
    Given a follower of a store with eras that has read 30 rows
    When the store returns without the last 20 of them, <count> others are written, and it answers again after <away_ms> ms
    Then the follower has the rows of the store 1,500 ms later

    Examples:
      | count | away_ms |
      | 0     | 100     |
      | 5     | 100     |
      | 20    | 2000    |
      | 25    | 100     |
      | 40    | 2000    |
