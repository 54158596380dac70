Feature: The path of a request to a runner

  Scenario: A whole answer is passed on with the runner's status and headers
    Given 2 runners and a "safe" route
    When runner answers are: whole 200
    Then the caller gets 200 with the runner's body
    And 1 runner saw the request

  Scenario Outline: On a <kind> route with <limit> runners, <answers> ends in <result>
    Given 3 runners and a "<kind>" route for <limit> runners
    When runner answers are: <answers>
    Then the caller gets <result>
    And <count> runners saw the request

    Examples: what may be repeated
      | kind   | limit | answers                      | result                           | count |
      | safe   | 2     | broken, whole 200            | 200 with the runner's body       | 2     |
      | safe   | 2     | whole 500, whole 200         | 200 with the runner's body       | 2     |
      | safe   | 2     | whole 500, whole 500         | 500 with the runner's body       | 2     |
      | safe   | 1     | broken, whole 200            | 502 of the VM's own              | 1     |
      | once   | 2     | broken, whole 200            | 502 of the VM's own              | 1     |
      | once   | 2     | whole 500, whole 200         | 500 with the runner's body       | 1     |
      | once   | 2     | not run, whole 200           | 200 with the runner's body       | 2     |
      | once   | 2     | unreached, whole 200         | 200 with the runner's body       | 1     |
      | once   | 1     | unreached, whole 200         | 200 with the runner's body       | 1     |

    Examples: what a refusal promises
      | kind   | limit | answers                      | result                           | count |
      | once   | 2     | not run, not run             | 503 of the VM's own, to come back | 2    |
      | once   | 1     | whole 503                    | 502 of the VM's own              | 1     |
      | once   | 1     | whole 429                    | 502 of the VM's own              | 1     |
      | safe   | 2     | broken, not run              | 502 of the VM's own              | 2     |
      | safe   | 2     | short 200, whole 200         | 200 with the runner's body       | 2     |
      | once   | 1     | encoded 200                  | 502 of the VM's own              | 1     |

    Examples: streams
      | kind      | limit | answers                     | result                           | count |
      | resumable | 2     | events 1-5                  | 200 with events 1-5              | 1     |
      | resumable | 2     | cut after 1-3, events 4-5   | 200 with events 1-5              | 2     |
      | resumable | 2     | cut within 3, events 3-5    | 200 with events 1-5              | 2     |
      | resumable | 2     | cut after 1-3, events 5-5   | a closed connection after 1-3    | 2     |
      | resumable | 1     | cut after 1-3, events 4-5   | a closed connection after 1-3    | 1     |
      | stream    | 2     | cut after 1-3, events 4-5   | a closed connection after 1-3    | 1     |
      | stream    | 2     | broken, events 1-5          | 502 of the VM's own              | 1     |
      | resumable | 2     | broken, events 1-5          | 200 with events 1-5              | 2     |

  Scenario: A request that a version on trial fails is tried again elsewhere
    Given 3 runners and a "safe" route for 2 runners
    And a version on trial takes the request
    When runner answers are: whole 500, whole 200
    Then the caller gets 200 with the runner's body
    And the version on trial was asked first, and not again

  Scenario: A stream is billed for its prompt and the events that were passed on
    Given 3 runners and a "stream" route for 1 runners
    When runner answers are: cut after 1-3
    Then 1,000 prompt tokens and 3 events of 5 tokens are billed

  Scenario: A request that no runner took is not billed
    Given 3 runners and a "stream" route for 1 runners
    When runner answers are: unreached, unreached, unreached
    Then nothing is billed

  Scenario: An answer that does not come is given up at the route's time
    Given 3 runners and a "once" route for 1 runners
    When runner answers are: silent
    Then the caller gets 504 of the VM's own after 1,000 ms

  Scenario: A request whose caller leaves is given up at its runner at once
    Given 3 runners and a "safe" route for 2 runners
    When runner answers are: silent
    And the caller leaves after 100 ms
    Then the runner's connection is closed after 100 ms
    And the caller's connection is closed without an answer
    And 1 runners saw the request
    And the line of the request tells "caller_left"

  Scenario Outline: The line of a request tells how its answer was cut by <answers>
    Given 3 runners and a "<kind>" route for 1 runners
    When runner answers are: <answers>
    Then the line of the request tells "<cut>"

    Examples:
      | kind   | answers                   | cut              |
      | stream | cut after 1-3             | runner_broke_off |
      | stream | silent after 1-3          | time_over        |

  Scenario Outline: A request that <case> is refused with <status>
    Given 3 runners and a "safe" route for 2 runners
    When a request arrives that <case>
    Then the caller gets <status> of the VM's own
    And 0 runners saw the request

    Examples:
      | case                              | status |
      | has no route                      | 404    |
      | has an unknown key                | 401    |
      | has no id                         | 400    |
      | has a body beyond the limit       | 413    |
      | comes before the configuration    | 503    |

  Scenario: Retries stay within the share and the VM's part of the extra ones
    Given a retry window of 0.2 and 56 extra retries for 8 VMs
    When 100 requests ask for a retry each
    Then 25 of them are allowed
    When 10 s have passed and nothing was sent
    Then 5 of 20 that ask without new requests are allowed

  Scenario: A body that does not come is refused at the route's time
    Given 2 runners and a "safe" route
    When a request arrives whose body never ends
    Then the caller gets 408 of the VM's own after 1,000 ms
    And 0 runners saw the request

  Scenario: Heads and idle connections have the bounds of the configuration
    Given 2 runners and a "safe" route
    When the configuration allows heads of 2,000 bytes in 500 ms and 9 s of idleness
    Then callers' connections have these bounds

  Scenario Outline: A VM that drains <result> what comes <after> ms later
    Given 2 runners and a "safe" route
    When the VM is told to drain while a request runs
    And another request comes <after> ms later
    Then the other request is <result>

    Examples:
      | after | result  |
      | 100   | served  |
      | 2,400 | served  |
      | 2,600 | refused |
      | 6,000 | refused |

  # Guards against requests that are refused for their accounts by a VM that has
  # just started and knows no keeper to draw on.
  Scenario: A VM is ready once it knows the other VMs
    Given 1 runners and a "safe" route
    Then the VM is ready if it knows the other VMs, and not before
