Feature: Requests that crash the runners that run them

  # Guards against a request that comes again at other VMs and ends one runner
  # after another.
  Scenario Outline: A "<kind>" request that crashes its runners is held back by <vms> VMs
    Given <vms> VMs that forward "<kind>" requests to <runners> runners
    When a request that crashes its runners is sent again and again
    Then the request reaches at most 3 runners from the contact time after its third crash on
    And it crashes at most 2 runners
    And every refusal of it that denies a run is true
    And no other request is refused as one that crashes runners

    Examples:
      | kind      | vms | runners |
      | safe      | 8   | 9       |
      | once      | 8   | 9       |
      | resumable | 8   | 9       |
      | once      | 80  | 45      |

  # Guards against evidence that ends with the VMs that gathered it.
  Scenario: A VM that starts later holds a crashing request back
    Given 8 VMs that forward "once" requests to 9 runners
    When a request that crashes its runners is sent again and again, and a VM starts after its third crash
    Then the request reaches at most 3 runners from the contact time after its third crash on
    And it crashes at most 2 runners

  # Guards against evidence that is dropped because the store did not take it.
  Scenario: Crashes during an outage of the store count once it is over
    Given 8 VMs that forward "once" requests to 9 runners
    When a request that crashes its runners is sent again and again, and the store is down for 8 s from its first crash on
    Then the request reaches at most 3 runners from the contact time after its third crash on
    And it crashes at most 2 runners after the outage

  # Guards against refusals of requests that were running when runners crashed
  # for other reasons, among them one that many callers send.
  Scenario Outline: Requests at runners that crash without a cause are served again by <vms> VMs
    Given <vms> VMs that forward "<kind>" requests to <runners> runners
    When <share> of the runners crash every 4 s, without a cause
    Then no other request is refused as one that crashes runners

    Examples:
      | kind | vms | runners | share |
      | safe | 8   | 9       | 0.15  |
      | safe | 8   | 9       | 0.7   |
      | once | 8   | 9       | 0.5   |

  # Guards against memory that grows with each request at a crashed runner while
  # the store takes no rows.
  Scenario: Crash reports of a VM are bounded
    Given 1 VMs that forward "safe" requests to 9 runners
    When crashes under 12,000 different requests are reported during an outage of the store
    Then the VM keeps 10,000 suspects and 5,000 rows to write

  # Guards against rows that stay in the store once they are of no use.
  Scenario: Rows of crashes are removed when they have expired
    Given 8 VMs that forward "once" requests to 9 runners
    When a request that crashes its runners is sent again and again
    And 11 minutes pass
    Then no row of a crash is left in the store
