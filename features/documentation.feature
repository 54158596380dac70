Feature: Commands, guarantees and refusal codes in the documentation

  Scenario: Every shell command in the documentation runs as printed
    Given a fleet whose first VM has the addresses used in the documentation
    When every sh block of README.md, docs/CALLERS.md and docs/OPERATORS.md runs
    Then every block exits with status 0 and no page is left out

  Scenario: A failing command is reported
    Given a page with a command that fails
    Then running the block reports the failure and stops there

  Scenario: Every promise and every fault names its tests
    When docs/PROMISES.md is compared with all features
    Then each row names existing scenarios or is listed in KNOWN-RED.txt
    And rows without a scenario or with an unknown one are reported

  Scenario: Every refusal code is documented for operators
    When docs/OPERATORS.md is compared with the refusal codes
    Then each refusal code has a row that describes what to do
