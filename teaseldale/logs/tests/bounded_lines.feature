Feature: Log lines are bounded and never block their callers

  Scenario: A stalled reader blocks no caller and costs bounded memory
    Given a log with a stalled reader
    When 40,000 routine and 40,000 important lines are written over 200 s
    Then no log call blocked
    And at most 1,000,000 bytes are queued for the reader
    When the reader resumes
    And one more line is written
    Then the written lines and the lines reported as dropped add up to 80,001

  Scenario: Important lines are queued when routine lines are dropped
    Given a log with a stalled reader
    When 40,000 routine and 10 important lines are written over 200 s
    And the reader resumes
    Then all 10 important lines are written

  Scenario: The rate limit of a frequent event does not affect other events
    Given a log with a fast reader
    When 5,000 important lines of one event and 5 of another are written within a second
    And a second passes and one more line is written
    Then 500 lines of the first event and 5 of the other are written
    And 4,500 lines of the first event are reported as dropped

  Scenario: A full pipe does not block the process
    Given a log on a pipe that is never read
    When 20,000 important lines are written over 60 s
    Then no log call blocked

  Scenario: Queued lines are written when the log is closed
    Given a log with a fast reader
    When 100 important lines are written and the log is closed
    Then all 100 important lines are written
