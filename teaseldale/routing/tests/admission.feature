Feature: Admission by deadline and priority, fair between client accounts

  Scenario: A request that cannot make its deadline is refused at once
    Given 1 VMs before 1 runners
    When 16 slots are in use and a request has a deadline of 50 ms
    Then it is refused within 1 ms with deadline_exceeded and a time to come back

  Scenario: A burst on an idle VM is served by slots that nobody uses
    Given 4 VMs before 2 runners
    When VM 0 has answered a request of 5 s and 20 come at once
    Then all 20 are placed within 600 ms

  Scenario: A full queue refuses at once and displaces the least important
    Given 1 VMs before 1 runners
    When 16 slots are in use and 300 requests of low priority wait
    And a request of high priority comes
    Then one of low priority is refused at once with overloaded
    And the queue never held more than 256 requests

  Scenario: Waiting requests go by priority and by turns of the accounts
    Given 1 VMs before 1 runners
    When 16 slots are in use, account a sends 12 requests, then b, c and one of high priority
    Then they start in the order high, a, b, c

  Scenario: Retries never exceed the route's share
    Given 2 VMs before 3 runners
    When every stream breaks and 400 requests come with 10 percent of retries
    Then at most 10 retries and 10 percent more were made by each VM
    And retries_refused of drafts is counted
