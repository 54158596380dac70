Feature: Entries state which runners are cold

  # Guards against runners that get too much, nothing, or stay limited for good
  # because of what another writer has put into an entry.
  Scenario Outline: A runner whose entry has <field> is cold for <cold> ms
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with <field> of a runner that started 60 s ago is read
    Then the runner is cold for <cold> ms, <logged>

    Examples:
      | field                    | cold    | logged            |
      | ColdLeftMs 0             | 0       | with no log line  |
      | ColdLeftMs 1200          | 1200    | with no log line  |
      | ColdLeftMs 1200.5        | 1200.5  | with no log line  |
      | ColdLeftMs 1e300         | 3600000 | with no log line  |
      | no ColdLeftMs            | 0       | with a log line   |
      | ColdLeftMs -1            | 0       | with a log line   |
      | ColdLeftMs "1200"        | 0       | with a log line   |
      | ColdLeftMs null          | 0       | with a log line   |
      | ColdLeftMs true          | 0       | with a log line   |
      | ColdLeftMs [1200]        | 0       | with a log line   |
      | ColdLeftMs {"a":1}       | 0       | with a log line   |
      | ColdLeftMs 1e999         | 0       | with a log line   |

  # Guards against runners that have just started and do not state that they are
  # cold, and against clocks that differ.
  Scenario Outline: A runner that started <age> s ago is cold for <cold> ms
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with <field> of a runner that started <age> s ago is read
    Then the runner is cold for <cold> ms, <logged>

    Examples:
      | age  | field           | cold | logged           |
      | 1    | ColdLeftMs 0    | 2000 | with no log line |
      | 1    | no ColdLeftMs   | 2000 | with a log line  |
      | 1    | ColdLeftMs 2500 | 2500 | with no log line |
      | -100 | ColdLeftMs 0    | 3000 | with no log line |

  # Guards against limits in deployments whose services have no cold runners.
  Scenario Outline: Runners of a service with <terms> are never cold
    Given a service with <terms>
    When an entry with ColdLeftMs 1200 of a runner that started 1 s ago is read
    Then the runner is cold for 0 ms, with no log line
    When an entry with no ColdLeftMs of a runner that started 60 s ago is read
    Then the runner is cold for 0 ms, with no log line

    Examples:
      | terms           |
      | no ColdPerS     |
      | ColdPerS 0      |
      | ColdPerS -1     |
      | ColdPerS "7.7"  |
      | ColdPerS null   |
      | ColdPerS 1e999  |

  # Guards against limits that never lapse: a full read returns an unchanged
  # entry, whose time left is that of long ago.
  Scenario: An entry that is read again does not prolong the period
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with ColdLeftMs 1200 of a runner that started 60 s ago is read
    And 1000 ms later the table is read in full
    Then the runner is cold for 200 ms, with no log line
    When 500 ms later the table is read in full
    Then the runner is cold for 0 ms, with no log line

  Scenario: A runner that was warm is cold again, and warm early
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with ColdLeftMs 0 of a runner that started 60 s ago is read
    And a later entry with ColdLeftMs 2000 is read
    Then the runner is cold for 2000 ms, with no log line
    When a later entry with ColdLeftMs 0 is read
    Then the runner is cold for 0 ms, with no log line

  # Guards against runners that are read before the configuration.
  Scenario: A configuration that is read later makes runners cold
    Given a service with no ColdPerS
    When an entry with ColdLeftMs 1200 of a runner that started 60 s ago is read
    And the configuration says that they tolerate 7.7 requests per second
    Then the runner is cold for 1200 ms, with no log line

  # Guards against periods that two VMs prolong for each other for good.
  Scenario: What another VM states counts only if its entry is a later one
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with ColdLeftMs 1200 of a runner that started 60 s ago is read
    And another VM states 3000 ms by the same entry
    Then the runner is cold for 1200 ms, with no log line
    When another VM states 3000 ms by a later entry
    Then the runner is cold for 3000 ms, with no log line

  Scenario Outline: The lower of a named limit of <named> and that of a cold runner applies
    Given a service whose runners are cold for 3 s after a start and tolerate 7.7 requests per second
    When an entry with ColdLeftMs 1200 of a runner that started 60 s ago is read
    And the runner names a limit of <named> requests per second
    Then its limit is <limit> requests per second
    And 1300 ms later its limit is <later> requests per second

    Examples:
      | named | limit | later |
      | 2     | 2     | 2     |
      | 20    | 7.7   | 20    |
      | no    | 7.7   | no    |
