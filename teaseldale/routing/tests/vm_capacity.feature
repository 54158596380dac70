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

  # Guards against withdrawals that the load balancer does not notice.
  Scenario: Each withdrawal of readiness is seen by the load balancer
    Given a VM with a link of 5 Mbit/s
    When requests arrive for 120 s while its link carries 100 %
    Then each withdrawal is seen by two checks in succession

  # Guards against a VM that leaves the rotation for a load that passes: it has
  # to be ready for more than seven eighths of the time.
  Scenario: Readiness is withdrawn for less than an eighth of the time by short loads
    Given a VM with a link of 5 Mbit/s
    When its callers send 150 % of its link for 2 s in each minute, for 10 minutes
    Then the VM is not ready for less than an eighth of the time

  # Guards against one VM with thirty times the load of the others, to which its
  # callers came back after each short withdrawal: they waited for seconds in front
  # of its link and gave up before their requests were read.
  Scenario: Callers that overload a link are served by other VMs
    Given a VM with a link of 5 Mbit/s
    When its callers send 150 % of its link for 120 s
    Then callers wait for more than 500 ms in front of the link in at most a quarter of the time

  # Guards against a VM that stays out of rotation after its callers have left.
  Scenario: A VM is ready again soon after its callers have become fewer
    Given a VM with a link of 5 Mbit/s
    When its callers send 150 % of its link for 60 s and then 40 % for 60 s
    Then the VM is ready from 25 s after the change on
