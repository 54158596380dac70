Feature: Spending from grants under faults

  Scenario Outline: One bill and one answer under <fault>
    When spending is exercised under <fault>
    Then each budget is billed for exactly what was delivered

    Examples:
      | fault                                  |
      | a retry elsewhere of a finished run    |
      | a retry elsewhere of a running run     |
      | a key used for two bodies              |
      | idle grants at other VMs               |
      | an expired grant                       |
      | a lost answer and a retry              |
      | a dead VM and a store that is down     |
      | a partition and a top-up               |
      | a pause beyond the validity            |
      | a VM replaced under its address        |
      | a late commit of a grant               |
      | two budgets of which one is empty      |
      | an order whose VM dies                 |
      | an order while the store is down       |
      | a run on each side of a partition      |
      | a graceful shutdown                    |
      | a lost answer of an intent             |

  Scenario Outline: Without <part> a check goes red
    When <part> is disabled while spending is exercised under <fault>
    Then a spending check fails

    Examples:
      | part               | fault                              |
      | the validity check | an expired grant                   |
      | the intent row     | an order whose VM dies             |
      | the transaction id | a lost answer of an intent         |
      | the witness        | a dead VM and a store that is down |
