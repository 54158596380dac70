Feature: A VM refuses requests when its link is nearly full

  # Guards against refusals by a VM that could have served the requests.
  Scenario Outline: Nothing is refused at <load> % of <link>
    Given a VM with <link>
    When requests arrive for 20 s while its link carries <load> %
    Then none of them is refused and the VM is always ready

    Examples:
      | load | link                  |
      | 30   | a link of 5 Mbit/s    |
      | 69   | a link of 5 Mbit/s    |
      | 300  | a link of unknown rate |

  # Guards against callers that wait outside the process on a full link.
  Scenario: Large and less urgent requests are refused first
    Given a VM with a link of 5 Mbit/s
    When requests arrive for 2 s while its link carries 84 %
    Then more large than small, and more less urgent than urgent ones are refused
    And each refusal has a retry delay of at most 150 ms

  # Guards against callers that all move to other VMs at once.
  Scenario: Some requests of each kind are served on a full link
    Given a VM with a link of 5 Mbit/s
    When requests arrive for 2 s while its link carries 100 %
    Then some requests of each kind are served

  # Guards against refusals because of one large body on an idle link.
  Scenario: One large body causes no refusals
    Given a VM with a link of 5 Mbit/s
    When requests arrive for 2 s while its link carries a body of 300,000 bytes
    Then none of them is refused and the VM is always ready

  # Guards against a VM that is out of rotation for an eighth of the time, and
  # against withdrawals that the load balancer does not notice.
  Scenario: Readiness is withdrawn briefly while the link stays full
    Given a VM with a link of 5 Mbit/s
    When requests arrive for 120 s while its link carries 100 %
    Then the VM is not ready for less than an eighth of the time
    And each withdrawal is seen by two checks in succession
