Feature: Runners that limit the requests of all VMs together

  # Guards against VMs that go on as before, or that each send as much as the
  # limit allows to all of them.
  @known_red
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
  @known_red
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
