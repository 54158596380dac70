Feature: Lines are bounded and never wait for their reader

  Scenario: A reader that never reads costs no time and bounded memory
    Given a log whose reader takes nothing
    When 40,000 routine and 40,000 important lines are written over 200 s
    Then no line was waited for
    And at most 1,000,000 bytes wait for the reader
    When the reader begins to read
    And one more line is written
    Then the lines that were read and those told as left out are all 80,001

  Scenario: Important lines still fit in when routine ones do not
    Given a log whose reader takes nothing
    When 40,000 routine and 10 important lines are written over 200 s
    And the reader begins to read
    Then all 10 important lines were read

  Scenario: A flood of one event is cut to its limit, and other events are not
    Given a log whose reader takes all
    When 5,000 important lines of one event and 5 of another are written within a second
    And a second passes and one more line is written
    Then 500 lines of the flood and 5 of the other were read
    And 4,500 lines of the flood are told as left out

  Scenario: A pipe that is full does not hold up the process
    Given a log on a pipe that nobody reads
    When 20,000 important lines are written over 60 s
    Then no line was waited for

  Scenario: Lines that wait are written before the process ends
    Given a log whose reader takes all
    When 100 important lines are written and the log is closed
    Then all 100 important lines were read
