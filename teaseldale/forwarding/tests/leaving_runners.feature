Feature: Runners that leave

  # Guards against requests to a runner that has announced in an answer that it
  # leaves, while its entry in the store still says that it takes requests.
  Scenario Outline: <vms> VMs send nothing to runners that announce their leaving in <answers>
    Given <vms> VMs that send <per_s> requests per second to <runners> runners, some of which leave
    When <count> of the runners announce their leaving in <answers>
    Then no VM sends them a request that came later than 100 ms after such an answer
    And at least 99 in 100 requests to the leaving fleet are served

    Examples:
      | vms | per_s | runners | count | answers                   |
      | 8   | 45    | 6       | 2     | complete answers          |
      | 8   | 45    | 6       | 2     | rejections                |
      | 8   | 45    | 6       | 2     | server errors             |
      | 8   | 45    | 6       | 2     | answers that break off    |
      | 8   | 45    | 6       | 2     | answers to other requests |
      | 80  | 200   | 45      | 10    | complete answers          |

  # Guards against an announcement that is forgotten when the runner's entry is
  # written again or lapses for a while, as after an outage of the store.
  Scenario: A runner that leaves gets nothing after its entry has been written again
    Given 8 VMs that send 45 requests per second to 6 runners, some of which leave
    When 2 of the runners announce their leaving in complete answers and their entries are written again
    Then no VM sends them a request that came later than 100 ms after such an answer
    And at least 99 in 100 requests to the leaving fleet are served

  # Guards against a refusal without a retry time, or after a long wait, once
  # nothing can take the request.
  Scenario: Requests are refused at once when all runners leave
    Given 8 VMs that send 45 requests per second to 6 runners, some of which leave
    When 6 of the runners announce their leaving in complete answers
    Then no VM sends them a request that came later than 100 ms after such an answer
    And requests that no runner takes are refused at once, to come back

  # Guards against an announcement that counts for the runner that had the address
  # before, or that is expected there.
  Scenario: Another runner at an address announces its own leaving
    Given 8 VMs that send 45 requests per second to 6 runners, some of which leave
    When 2 of the runners announce their leaving in misdirected answers
    Then no runner counts as leaving

  # Guards against VMs that find out one after the other, each by a request of
  # its own, that a runner leaves.
  Scenario: A VM without an answer of a leaving runner learns of it from another VM
    Given 8 VMs that send 45 requests per second to 6 runners, some of which leave
    And 30 in 100 datagrams between them are lost
    When 2 of the runners announce their leaving to one VM only
    Then no VM sends them a request that came later than 2000 ms after the first such answer
    And at least 99 in 100 requests to the leaving fleet are served
