Feature: Operators' commands against a running fleet

  Scenario: Notes, budgets and moves are managed from the command line
    Given a fleet of 2 VMs
    Then these commands give the expected status and output at VM 1
      | command                          | status | prints             |
      | note apply NOTE --dry_run        | 0      | budget/night       |
      | note apply NOTE                  | 0      | "accepted"         |
      | note show second                 | 0      | "initial_tokens"   |
      | note status second               | 0      | "revision": 2      |
      | note cancel second               | 1      | takes effect       |
      | note show missing                | 1      | There is no note   |
      | budget show night                | 0      | "topped_up_tokens": 50 |
      | budget topup night 25 --top_up_id=a | 0   | "topped_up_tokens": 75 |
      | budget topup night 25 --top_up_id=a | 0   | "topped_up_tokens": 75 |
      | budget topup night 30 --top_up_id=a | 1   | choose a new id    |
      | budget create dawn 100           | 0      | "accepted"         |
      | move status                      | 0      | []                 |
      | move takeback missing            | 1      | No move            |
