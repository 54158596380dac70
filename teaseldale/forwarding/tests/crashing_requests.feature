Feature: Requests that crash the runners that run them

  # Guards against a request that comes again at other VMs and ends one runner
  # after another.
  @known_red
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
  @known_red
  Scenario: A VM that starts later holds a crashing request back
    Given 8 VMs that forward "once" requests to 9 runners
    When a request that crashes its runners is sent again and again, and a VM starts after its third crash
    Then the request reaches at most 3 runners from the contact time after its third crash on
    And it crashes at most 2 runners

  # Guards against evidence that is dropped because the store did not take it.
  @known_red
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
