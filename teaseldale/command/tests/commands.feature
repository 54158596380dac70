Feature: Commands that operate a running fleet

  Scenario: Budget and note commands
    Given a fleet of 2 VMs
    Then the command "budget create roofs 5000" succeeds
    And the command "budget topup roofs 700" succeeds
    And the command "budget show roofs" prints "topped_up_tokens": 5700
    And the command "budget topup unknown 700" fails with "no budget"
    And the command "budget create roofs 6000" fails with "conflict"
    And applying a note with an unknown field fails with an error about the field
    And a command with an invalid operators' key fails with "unauthorized"
    And a command for an unused address fails with an error about the address

  @known_red
  Scenario: The load command reports its measurements
    Given a fleet of 2 VMs
    Then a load of 20 requests reports 20 complete answers in JSON
    And the same load with an invalid key fails

  Scenario: The help of each command lists its arguments
    Then the help of each command contains the word
      | command          | word         |
      | serve            | SETTINGS     |
      | check            | SETTINGS     |
      | note apply       | PATH         |
      | note show        | NAME         |
      | note status      | NAME         |
      | note cancel      | NAME         |
      | budget create    | TOKENS       |
      | budget topup     | TOKENS       |
      | budget show      | NAME         |
      | move status      | NAME         |
      | move takeback    | NAME         |
      | load             | STREAMS      |
      | standin platform | ADDRESS      |
      | standin engine   | SLOT_COUNT   |
      | standin service  | ADDRESS      |
      | version          | version      |

  Scenario: An error about an address in use includes the address
    Given a fleet of 1 VMs
    When a second VM is started with the same settings
    Then the second VM exits with status 1 and an error about the address
