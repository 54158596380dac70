Feature: The check of a configuration file

  Background:
    Given a configuration file without findings

  Scenario: A right configuration has no findings
    When the file is checked
    Then the check exits with 0
    And it prints "nothing found"

  # Guards against notes that are refused, or do nothing, only once they are sent.
  Scenario Outline: A file in which <fault> is reported with its location
    Given a file in which <fault>
    When the file is checked
    Then the check exits with 1
    And it prints "<finding>"

    Examples: errors
      | fault                                | finding                                                                    |
      | a table is not closed                | error: .* \(at line 4, column                                              |
      | a field is unknown                   | error: unknown fields: additions.budgets\[0\].colour                       |
      | a number is a text                   | error: .*additions.budgets\[0\].initial_tokens                             |
      | a name has a space                   | :4: error: budget/dra fts.name: names are                                  |
      | a deadline is 0                      | :13: error: route/orders.deadline_ms: must be above 0                      |
      | a budget that is named is missing    | :8: error: account/office.budgets: there is no budget/missing              |
      | an item stands there twice           | error: budget/drafts: it stands here twice                                 |

    Examples: entries that never match
      | fault                                | finding                                                                    |
      | two accounts have the same key       | :8: unmatched: account/office.key_hash: account 'annex' has the same key   |
      | a budget is charged by nothing       | unmatched: budget/spare: no account and no route charges it                |
      | a route has no upstream              | :13: unmatched: route/orders.version: no upstream has version 'v2'         |
      | an upstream has an unused version    | unmatched: upstream/old.version: route 'orders' neither is at version 'v0' |

    Examples: limits that contradict each other
      | fault                                | finding                                                                    |
      | a goal is over the deadline          | contradiction: move/up.first_token_guard_ms: 90000 ms is over the deadline |
      | a gap is over the deadline           | contradiction: move/up.token_gap_guard_ms: 90000 ms is over the deadline   |
      | a move watches beyond its deadline   | contradiction: move/up.watch_ms: 9000000000000 ms is over the              |
      | the deadline of a move has passed    | contradiction: move/up.deadline_wall_ms: it has passed                     |
      | a budget is below one request        | :4: contradiction: budget/drafts.initial_tokens: 3 tokens are below one    |
      | the budget of a route is too small   | contradiction: budget/spare.initial_tokens: 3 tokens are below one         |

  Scenario: A budget that only top-ups fill is no finding
    Given a file in which a budget starts at 0
    When the file is checked
    Then the check exits with 0

  Scenario: A configuration is compared with another
    Given another file in which a deadline is shorter and a budget is missing
    When the file is checked against the other
    Then the check exits with 0
    And it prints "route/orders.deadline_ms: 50000 -> 60000"
    And it prints "budget/second: added"

  Scenario: A note is checked against the configuration that it changes
    Given another file without findings
    And a note that shortens a deadline and withdraws a missing budget
    When the file is checked against the other
    Then the check exits with 1
    And it prints "route/orders.deadline_ms: 60000 -> 40000"
    And it prints "error: budget/missing: there is no such item"

  Scenario: The report is also written as JSON
    Given a file in which a deadline is 0
    When the file is checked with a report in JSON
    Then the check exits with 1
    And the JSON names the kind, the place, the line and the message

  Scenario Outline: A call with <mistake> exits with <status>
    When the check is called with <mistake>
    Then the check exits with <status>

    Examples:
      | mistake                        | status |
      | no file                        | 2      |
      | an unknown option              | 2      |
      | --against without a file       | 2      |
      | a note of changes alone        | 2      |
      | a file that is missing         | 1      |
      | another file that is missing   | 1      |
