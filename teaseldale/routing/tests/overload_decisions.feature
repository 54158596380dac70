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
