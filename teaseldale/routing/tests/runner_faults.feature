Feature: Faults of runners and of the links to them

  Every caller receives the complete answer to its own request, or a refusal
  without the request having been run.

  Scenario: A runner crashes with open streams
    Given 4 VMs before 4 runners
    When 40 callers send requests and runner-0 crashes 600 ms later
    Then every answer is complete and belongs to its request
    And runner-0 has crashed 1 time

  Scenario Outline: A runner <fault>
    Given 4 VMs before 4 runners
    When runner-0 <fault> and 40 callers send requests
    Then every answer is complete and belongs to its request
    And <counter> of <reason> was incremented

    Examples:
      | fault               | counter           | reason  |
      | refuses work        | upstream_failures | refused |
      | hangs               | upstream_failures | silent  |
      | is 300 times slower | upstream_failures | silent  |
      | crosses answers     | upstream_failures | crossed |

  Scenario: An engine resumes before the requested offset
    Given 4 VMs before 4 runners
    When engines resume 8 tokens early, 40 callers send requests and runner-0 crashes
    Then every answer is complete and belongs to its request

  Scenario: Overdue runs are recorded before they fail
    Given 4 VMs before 4 runners
    When runner-0 hangs and 40 callers send requests
    Then a run was recorded as overdue before it failed

  Scenario: All open connections go silent while new ones work
    Given 2 VMs before 3 runners
    When 12 callers send requests over connections that deliver no data
    Then every answer is complete and belongs to its request
    And upstream_failures of silent was incremented

  Scenario: Streams go silent in the middle and their VM drains
    Given 3 VMs before 3 runners
    When 12 callers send requests, all streams stall and VM 0 drains
    Then every answer is complete and belongs to its request
    And VM 0 holds no slots

  Scenario: A runner crashes while slow readers hold its answers
    Given 2 VMs before 3 runners
    When 10 callers read 4000 bytes a second and runner-0 crashes
    Then every answer is complete and belongs to its request
    And no answer had more unread bytes than the window allows

  Scenario: Streams of slow readers release their slots
    Given 2 VMs before 3 runners
    When 40 callers read 4000 bytes a second of 8000 tokens
    Then every answer is complete and belongs to its request
    And no answer had more unread bytes than the window allows
    And on average at most 20 requests held slots

  Scenario Outline: A leaving runner gets no new work: <notice>
    Given 4 VMs before 3 runners
    When requests arrive continuously and runner-0 leaves by <notice>
    Then runner-0 starts no request later than 2000 ms after its notice
    And every answer is complete and belongs to its request

    Examples:
      | notice              |
      | the membership list |
      | its own report      |
      | a release note      |

  Scenario: A runner leaves under three times the load
    Given 8 VMs before 6 runners
    When three times the capacity is offered and runner-0 leaves
    Then runner-0 starts no request later than 2000 ms after its notice
    And no runner exceeded its slot count
    And every refused request was not run and has a reason and a retry-after time
