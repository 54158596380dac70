Feature: Following a table

  # Guards against configurations that come late because all versions of an
  # outage are read one after another over a thin link.
  Scenario: After an outage the newest version of a row is read, not all of them
    Given a follower of a table whose newest rows count
    When 30 versions of a row of 60,000 bytes are written while the store turns the follower away
    Then the follower has the newest version 500 ms after the store is back
    And it has read fewer than 130,000 bytes since

  # Guards against a follower that stays behind because each answer holds all
  # versions that were written while the one before was read.
  Scenario: A follower that fell behind skips versions that were replaced
    Given a follower of a table whose newest rows count
    When 60 versions of a row of 60,000 bytes are written within 2,000 ms and each answer takes 500 ms
    Then the follower has the newest version 1,500 ms after the last one
    And no two answers in a row held replaced versions
