Feature: Diagnosis of requests from log lines

  Scenario: The timeline of a refused request includes context lines
    When request "9ab0fc5d48b1a53b" is explained from "partition.log"
    Then the timeline contains "refusal=budget_unavailable"
    And the context contains the event "reservation_refused"
    And the timeline and its context are ordered by time

  Scenario: Explaining an unknown request fails
    Then explaining request "ffff" from "partition.log" fails with its id

  Scenario: Truncated lines and lines of other programs are skipped
    When a request is explained from log lines mixed with malformed lines
    Then the timeline has 1 line

  Scenario: All commands of the operations page succeed
    Then the commands of "docs/OPERATIONS.md" succeed

  Scenario Outline: The cause of <ending> is determined
    Given the log of a VM where <before>
    When a request ends with "<ending>"
    Then its cause is "<cause>"

    Examples:
      | ending                            | before                           | cause                                                     |
      | refusal budget_exhausted          | the account has nothing left     | the account is used up                                    |
      | refusal budget_held               | other VMs hold what is left      | other VMs held the last tokens of the account             |
      | refusal budget_held               | the mark allows no more          | the VM was bound by its mark                              |
      | refusal budget_unavailable        | the store is lost                | the store did not answer, and what the VM held was used   |
      | refusal budget_unavailable        | keepers are silent               | keepers of the account did not answer                     |
      | refusal budget_held               | a keeper has too little          | other VMs held the last tokens of the account             |
      | refusal upstream_broke_off        | a runner closed the connection   | the connection was closed                                 |
      | refusal no_upstream               | no runner is known               | no runner of s was usable                                 |
      | refusal deadline_exceeded         | a runner says nothing            | the runner was silent until the time was over             |
      | refusal deadline_exceeded         | the store is lost                | waited for tokens while the store was away                |
      | refusal unauthorized              | nothing else happens             | The key is unknown.                                       |
      | cut caller_left                   | nothing else happens             | the caller closed its connection                          |
      | cut vm_ended                      | nothing else happens             | the VM had to end before the answer                       |
      | cut runner_broke_off              | a runner closed the connection   | the connection was closed                                 |
      | cut time_over                     | nothing else happens             | the answer was under way as the time of the request ended |
      | status 500                        | nothing else happens             | the runner answered 500                                   |
      | refusal deadline_exceeded         | nothing else happens             | waited for tokens until its time was over                 |
      | refusal budget_held               | nothing else happens             | unknown                                                   |

  Scenario: Successful requests are counted but not reported as failed
    Given the log of a VM where nothing else happens
    When a request ends with "status 200"
    Then the report counts 1 request and no failure

  Scenario: The tokens of an account are counted over all VMs by second
    Given two VMs log the tokens of an account, and one of them starts again
    When the account is explained
    Then its seconds show what is spent, payable and withheld by marks

  Scenario: Explaining an account without log lines fails
    Then explaining the account "none" fails with its name

  Scenario: A failed request with an unknown cause is listed
    Given the log of a VM where nothing else happens
    When a request ends with "refusal internal_error"
    Then the report lists it as unexplained
