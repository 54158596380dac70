Feature: Answers held in bounded memory

  Scenario: Readers of any pace get the whole text within the window
    When answers of random parts are read by random readers, late ones too
    Then every reader got the whole text in order
    And no answer was further ahead of its slowest reader than the window

  Scenario: A whole answer that has been read takes a fraction of its length
    When a reader follows an answer of 64000 bytes of English text
    Then it is held in less than half of its length and can be read again

  Scenario: The memory set aside for answers is never exceeded
    When answers of random length come and go
    Then the sum set aside stayed within the limit and returned to 0

  Scenario Outline: The checks go red when <mutation>
    When answers are read while <mutation>
    Then a check fails

    Examples:
      | mutation                      |
      | writers never wait            |
      | compression drops a chunk     |
      | late readers start at the end |
