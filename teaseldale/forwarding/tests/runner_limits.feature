Feature: Runners that limit the requests of all VMs together

  # Guards against VMs that go on as before, or that each send as much as the
  # limit allows to all of them.
  Scenario Outline: <vms> VMs keep a limit of <limit> requests per second together
    Given <vms> VMs that send <per_s> requests per second to <runners> runners
    When <count> of the runners limit their requests to <limit> per second
    Then no runner gets more than its limit allows
    And at least 99 in 100 requests are served

    Examples:
      | vms | per_s | runners | count | limit |
      | 8   | 45    | 6       | 2     | 1.2   |
      | 8   | 45    | 6       | 1     | 0.2   |
      | 80  | 200   | 45      | 10    | 1.8   |

  # Guards against a service whose runners all name limits and whose capacity is
  # refused by the VMs that hold no part of it.
  Scenario Outline: <vms> VMs use what the limits of all runners allow
    Given <vms> VMs that send <per_s> requests per second to <runners> runners
    When <runners> of the runners limit their requests to <limit> per second
    Then no runner gets more than its limit allows
    And at least 70 in 100 of what the limits allow is used
    And every other request is refused within its objective, to come back

    Examples:
      | vms | per_s | runners | limit |
      | 8   | 30    | 3       | 4     |
      | 80  | 60    | 3       | 4     |

  # Guards against requests that pile up at a limited runner, or pass it by for
  # good, once something about the limit changes or is lost.
  Scenario Outline: A limit is kept, and no longer than it is named, when <event>
    Given <vms> VMs that send <per_s> requests per second to <runners> runners
    When 2 of the runners limit their requests to 1.2 per second and then <event>
    Then no runner gets more than its limit allows
    And in the last 8 s each runner gets at least half of an equal share
    And at least 99 in 100 requests are served

    Examples:
      | vms | per_s | runners | event              |
      | 8   | 45    | 6       | limit them no more |
      | 80  | 200   | 45      | limit them no more |
      | 8   | 45    | 6       | start again        |

  Scenario Outline: A limit is kept while <event>
    Given 8 VMs that send 45 requests per second to 6 runners
    When 2 of the runners limit their requests to 1.2 per second <event>
    Then no runner gets more than its limit allows

    Examples:
      | event                                 |
      | and then the VMs that hold them leave |
      | and then fall silent                  |
      | while 30 in 100 datagrams are lost    |

  # Guards against limits that nobody uses once the VM that held them has left.
  Scenario: Limits are used after the VMs that held them have left
    Given 8 VMs that send 30 requests per second to 3 runners
    When 3 of the runners limit their requests to 4 per second and then the VMs that hold them leave
    Then no runner gets more than its limit allows
    And at least 70 in 100 of what the limits allow is used
