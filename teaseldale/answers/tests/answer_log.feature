Feature: Answer logs with bounded memory

  Scenario: Readers of any speed receive all text with a bounded backlog
    When answers of random parts are read by random readers, some of them late
    Then every reader received the complete text in order
    And the backlog of the slowest reader stayed within the window and one part

  Scenario: An answer that all readers have consumed is compressed
    When a reader follows an answer of 64000 bytes of English text
    Then it occupies less than half of its length and can be read again

  Scenario: Memory reservations for answers never exceed the limit
    When memory for answers of random length is reserved and released
    Then the reserved memory stayed within the limit and returned to 0

  Scenario Outline: A check fails when <mutation>
    When answers are read while <mutation>
    Then a check fails

    Examples:
      | mutation                      |
      | writers never wait            |
      | compression drops a chunk     |
      | late readers start at the end |
