Feature: What the pages say can be done and is tested

  Scenario: Every command of the pages runs as printed
    Given a fleet whose first VM has the addresses that the pages name
    When every sh block of README.md, docs/CALLERS.md and docs/OPERATORS.md runs
    Then each has ended with status 0 and none was left out

  Scenario: A command that fails would be seen
    Given a page with a command that fails
    Then running its blocks reports that command

  Scenario: Every promise and every fault has its tests
    When docs/PROMISES.md is read beside all features
    Then each line names scenarios that exist or is listed in KNOWN-RED.txt
    And a line without a scenario and one with a wrong name would be seen

  Scenario: Every refusal code has a passage for operators
    When docs/OPERATORS.md is read beside the refusal codes
    Then each refusal code has a line that says what to do
