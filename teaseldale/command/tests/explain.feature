Feature: The story of a request

  Scenario: A refusal is told with what the VM wrote before it
    When request "9ab0fc5d48b1a53b" is explained from "partition.log"
    Then the story has "refusal=budget_unavailable"
    And the context has "reservation_refused"
    And the story and its context are in order of time

  Scenario: A request that nobody wrote of is said to be unknown
    Then explaining request "ffff" from "partition.log" fails and names it

  Scenario: Lines that were cut off or come from other programs are passed over
    When a request is explained from lines with noise between them
    Then the story has 1 line

  Scenario: Every command of the on-call page runs as printed
    Then the commands of "docs/OPERATIONS.md" succeed
