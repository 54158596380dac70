Feature: Single decisions of overload admission

  # Guards against a cost that grows with the waiting requests: each of them
  # estimated the prompts at each runner anew, several times per decision.
  Scenario: A decision costs no more while many accounts wait
    Given a VM with 45 model runners whose prompts wait for 2000 ms
    And requests of 100 accounts wait
    When a request arrives
    Then at most 3 estimates are made for each runner

  # Guards against starting all waiting requests at once when the prompts at the
  # runners get few: those that start were not counted until they were placed.
  Scenario: Requests that start together do not overfill the runners
    Given a VM with 2 model runners whose prompts wait for 2000 ms
    And requests of 24 accounts wait
    When the runners have read their prompts and have 10 free slots each
    Then between 6 and 14 requests start

  # Guards against requests that wait, or start and use a runner, although they
  # cannot be served before their deadline.
  Scenario Outline: A request that cannot be served before its deadline is refused immediately
    Given a VM with 45 model runners whose prompts wait for <queue> ms
    When a request with a deadline of <deadline> ms arrives
    Then it is refused by its deadline

    Examples:
      | queue | deadline |
      | 4000  | 1000     |
      | 0     | 100      |

  # Guards against holding back the only account that sends.
  Scenario Outline: An account is in excess only if others send
    Given a VM with 45 model runners whose prompts wait for 0 ms
    And accounts have sent as usual
    When one account sends 20 requests and <others> others arrive
    And the prompts at the runners wait for 500 ms
    Then a request of that account <result>

    Examples:
      | others | result |
      | 0      | starts |
      | 4      | waits  |

  # Guards against an overload in which an operator cannot see which rule
  # decides, and against counting a request at each of its checks.
  Scenario: Kinds behind, accounts in excess and prompts are counted
    Given a VM with 45 model runners whose prompts wait for 0 ms
    And accounts have sent as usual
    When one account sends 20 requests and 4 others arrive
    And the prompts at the runners wait for 2000 ms
    And a request is refused by its deadline
    And 12 requests of that account and of another kind wait and are checked
    Then "overload_arrivals" counts 12 for "account_in_excess"
    And "overload_arrivals" counts 11 for "kind_behind"
    And "overload_held" counts 12 for "prompts"
