Feature: Single decisions of overload admission

  # Guards against a cost that grows with the waiting requests: each of them
  # estimated the prompts at each runner anew, several times per decision.
  Scenario: A decision costs no more while many accounts wait
    Given a VM with 45 model runners whose prompts wait for 2000 ms
    And requests of 100 accounts wait
    When a request arrives
    Then at most 3 estimates are made for each runner
