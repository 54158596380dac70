Feature: Operators drive a running fleet from the command line

  Scenario: Budgets and notes by command
    Given a fleet of 2 VMs
    Then the command "budget create roofs 5000" succeeds
    And the command "budget topup roofs 700" succeeds
    And the command "budget show roofs" prints "topped_up_tokens": 5700
    And the command "budget topup unknown 700" fails with "no budget"
    And the command "budget create roofs 6000" fails with "conflict"
    And a note with an unknown field fails and names the field
    And a wrong operators' key fails with "unauthorized"
    And an address where nothing listens fails and is named

  Scenario: A bounded load prints what was measured
    Given a fleet of 2 VMs
    Then a load of 20 requests reports 20 whole answers in JSON
    And the same load with a wrong key fails

  Scenario: Each command tells what it takes
    Then each command has help
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

  Scenario: An address in use is named
    Given a fleet of 1 VMs
    When a second VM is served with the same settings
    Then the second VM ends with status 1 and names the address in use
