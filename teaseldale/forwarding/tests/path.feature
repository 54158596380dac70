Feature: Forwarding of a request to a runner

  Scenario: A complete answer is forwarded with the runner's status and headers
    Given 2 runners and a "safe" route
    When the runners answer: whole 200
    Then the caller gets 200 with the runner's body
    And 1 runner received the request

  Scenario Outline: On a <kind> route limited to <limit> runners, <answers> results in <result>
    Given 3 runners and a "<kind>" route limited to <limit> runners
    When the runners answer: <answers>
    Then the caller gets <result>
    And <count> runners received the request

    Examples: retries by kind of route
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

    Examples: whether a refused request may have run
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
      | resumable | 2     | cut after 1-3, not run      | a closed connection after 1-3    | 2     |
      | resumable | 3     | cut after 1-3, not run, events 4-5 | 200 with events 1-5       | 3     |

    # Guards against an error's text in the middle of a stream that has begun, and
    # against a stream that ends with it as if it were complete.
    Examples: answers of the next runner that are no events
      | kind      | limit | answers                     | result                           | count |
      | resumable | 2     | cut after 1-3, whole 500    | a closed connection after 1-3    | 2     |
      | resumable | 2     | cut after 1-3, whole 404    | a closed connection after 1-3    | 2     |
      | resumable | 2     | cut after 1-3, whole 503    | a closed connection after 1-3    | 2     |
      | resumable | 2     | cut after 1-3, json 200     | a closed connection after 1-3    | 2     |
      | resumable | 2     | cut after 1-3, encoded 200  | a closed connection after 1-3    | 2     |
      | resumable | 3     | cut after 1-3, whole 500, events 4-5 | 200 with events 1-5     | 3     |
      | resumable | 3     | cut after 1-3, json 200, events 4-5  | 200 with events 1-5     | 3     |
      | resumable | 1     | cut after 1-3, events 4-5   | a closed connection after 1-3    | 1     |
      | stream    | 2     | cut after 1-3, events 4-5   | a closed connection after 1-3    | 1     |
      | stream    | 2     | broken, events 1-5          | 502 of the VM's own              | 1     |
      | resumable | 2     | broken, events 1-5          | 200 with events 1-5              | 2     |

  # Guards against a truncated stream that is delivered as a complete answer,
  # because its end was taken for the end of its last event.
  Scenario Outline: A stream that ends <end> results in <result>
    Given 3 runners and a "<kind>" route limited to <limit> runners
    When the runners answer: <answers>
    Then the caller gets <result>
    And <count> runners received the request
    And <failed> attempts are counted as failed

    Examples:
      | end                      | kind      | limit | answers                       | result                        | count | failed |
      | inside an event, unframed | resumable | 2    | unframed within 3, events 3-5 | 200 with events 1-5           | 2     | 1      |
      | inside an event, unframed | resumable | 1    | unframed within 3             | a closed connection after 1-2 | 1     | 1      |
      | inside an event, unframed | stream    | 2    | unframed within 3, events 3-5 | a closed connection after 1-2 | 1     | 1      |
      | inside an event, in chunks | resumable | 2   | chunked within 3, events 3-5  | 200 with events 1-5           | 2     | 1      |
      | before its first event   | resumable | 2     | unframed nothing, events 1-5  | 200 with events 1-5           | 2     | 1      |
      | in an event without end  | resumable | 2     | endless 3, events 3-5         | 200 with events 1-5           | 2     | 1      |
      | as another type of body  | stream    | 1     | json 200                      | 200 with the runner's body    | 1     | 0      |
      | after an event, unframed | stream    | 1     | unframed 1-5                  | 200 with events 1-5           | 1     | 0      |

  Scenario: A request that fails at an unproven version is retried at another runner
    Given 3 runners and a "safe" route limited to 2 runners
    And an unproven version is selected for the first attempt
    When the runners answer: whole 500, whole 200
    Then the caller gets 200 with the runner's body
    And the unproven version received the first attempt and no other

  Scenario: A stream is billed for its prompt and the delivered events
    Given 3 runners and a "stream" route limited to 1 runners
    When the runners answer: cut after 1-3
    Then 1,000 prompt tokens and 3 events of 5 tokens are billed

  Scenario: A request that reached no runner is not billed
    Given 3 runners and a "stream" route limited to 1 runners
    When the runners answer: unreached, unreached, unreached
    Then nothing is billed

  Scenario: A request without an answer is aborted at the route's time-out
    Given 3 runners and a "once" route limited to 1 runners
    When the runners answer: silent
    Then the caller gets 504 of the VM's own after 1,000 ms

  Scenario: A request is cancelled at its runner as soon as its caller disconnects
    Given 3 runners and a "safe" route limited to 2 runners
    When the runners answer: silent
    And the caller disconnects after 100 ms
    Then the runner's connection is closed after 100 ms
    And the caller's connection is closed without an answer
    And 1 runners received the request
    And the log line of the request has the cut reason "caller_left"

  Scenario Outline: The log line of a request states how its answer was cut by <answers>
    Given 3 runners and a "<kind>" route limited to 1 runners
    When the runners answer: <answers>
    Then the log line of the request has the cut reason "<cut>"

    Examples:
      | kind   | answers                   | cut              |
      | stream | cut after 1-3             | runner_broke_off |
      | stream | silent after 1-3          | time_over        |

  # Guards against an incident whose answers have no log line, since each of them
  # was taken for whole.
  Scenario Outline: The log line of a request that is served by <answers> is <kept>
    Given 3 runners and a "stream" route limited to 1 runners
    When the runners answer: <answers>
    Then the log line of the request is <kept>

    Examples:
      | answers      | kept          |
      | chunked 1-3  | dropped first |
      | unframed 1-3 | kept          |

  Scenario Outline: A request that <case> is refused with <status>
    Given 3 runners and a "safe" route limited to 2 runners
    When a request arrives that <case>
    Then the caller gets <status> of the VM's own
    And 0 runners received the request

    Examples:
      | case                              | status |
      | has no route                      | 404    |
      | has an unknown key                | 401    |
      | has no id                         | 400    |
      | has a body beyond the limit       | 413    |
      | comes before the configuration    | 503    |

  Scenario: Retries are limited to the share plus the VM's part of the extra retries
    Given a retry window with a share of 0.2 and 56 extra retries for 8 VMs
    When one retry is requested for each of 100 requests
    Then 25 of these retries are allowed
    When the window of 10 s has passed without requests
    Then 5 of 20 retries without new requests are allowed

  Scenario: A request whose body does not arrive is refused at the route's time-out
    Given 2 runners and a "safe" route
    When a request arrives whose body never ends
    Then the caller gets 408 of the VM's own after 1,000 ms
    And 0 runners received the request

  Scenario: Callers' connections use the head and idle limits of the configuration
    Given 2 runners and a "safe" route
    When the configuration allows heads of 2,000 bytes in 500 ms and an idle time of 9 s
    Then these limits apply to callers' connections

  Scenario Outline: A request that arrives <after> ms after the start of a drain is <result>
    Given 2 runners and a "safe" route
    When the VM starts to drain while a request runs
    And another request arrives <after> ms later
    Then the other request is <result>

    Examples:
      | after | result  |
      | 100   | served  |
      | 2,400 | served  |
      | 2,600 | refused |
      | 6,000 | refused |

  # Guards against account refusals by a VM that has just started and knows no
  # keeper to draw tokens from.
  Scenario: A VM is ready once it has read the member list
    Given 1 runners and a "safe" route
    Then the VM is ready with a known member list, and not without one

  # Guards against callers who stay with a VM that is cut off from the store, so
  # that it can draw no tokens for them.
  Scenario Outline: A VM that heard from the store <age> ms ago is <state>
    Given 1 runners and a "safe" route
    Then the VM is <state> if the store has last answered <age> ms ago

    Examples:
      | age   | state     |
      | 0     | ready     |
      | 9,900 | ready     |
      | 10,000 | not ready |
